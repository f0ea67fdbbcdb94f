package client

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// servedTimeout limits the queries for the daemons' Versions, so that an unreachable VM leaves most of the
// setting Timeout to the restore.
const servedTimeout = 5 * time.Second

func (c *Client) restoreCommand() command {
	var f changeFlags
	return command{
		name: "restore", usage: "[VERSION]",
		short: "Accept the agreement of an earlier Version again, as a new Version.",
		long: "Run it with -dry-run first: it shows the difference and the head, to be stated as -base. Rows that were\n" +
			"changed since that head are conflicts, and nothing is applied. Without VERSION it brings back the newest\n" +
			"intact Version, which is allowed only while the head in the store is damaged. The daemons of the setting\n" +
			"Daemons are asked for their Versions, so that the new one is above them.",
		flags: func(fs *flag.FlagSet) {
			f.register(fs, "head that -dry-run showed; required to restore", "a restore")
		},
		run: func(ctx context.Context, args []string) error {
			from, err := parseVersionArg(args)
			if err != nil {
				return err
			}
			return c.restore(ctx, from, f)
		},
	}
}

// parseVersionArg parses the optional argument VERSION; it returns zero if there is none.
func parseVersionArg(args []string) (ident.Version, error) {
	if len(args) == 0 {
		return 0, nil
	}
	if err := checkArgs(args, "VERSION"); err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("%w: VERSION %q is not a whole number above 0", errUsage, args[0])
	}
	return ident.Version(n), nil
}

func (c *Client) restore(ctx context.Context, from ident.Version, f changeFlags) error {
	if !f.dryRun && f.base == 0 {
		return fmt.Errorf("%w: run the command with -dry-run, which shows the head, then state it with -base", accept.ErrBaseRequired)
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a, err := c.newAcceptor()
	if err != nil {
		return err
	}
	served := c.maxServedVersion(ctx)
	if f.dryRun {
		return c.previewRestore(ctx, a, from, served)
	}
	p := accept.Proposal{
		ID: changeID(f.id), Author: c.settings.Author, Kind: accept.KindRestore, Restore: from, Served: served,
		Base: ident.Version(f.base), HasBase: true, Resubmitted: f.id != "",
	}
	res, err := a.Propose(ctx, p)
	if err != nil {
		return restoreError(p.ID, err)
	}
	return c.printResult(res)
}

// maxServedVersion returns the highest Version that a daemon of the setting Daemons serves, or zero if no
// daemon answers.
func (c *Client) maxServedVersion(ctx context.Context) ident.Version {
	ctx, cancel := context.WithTimeout(ctx, servedTimeout)
	defer cancel()
	var wg sync.WaitGroup
	versions := make([]ident.Version, len(c.settings.Daemons))
	for i, addr := range c.settings.Daemons {
		wg.Go(func() {
			if d := c.fetchStatus(ctx, addr); d.Status != nil {
				versions[i] = d.Status.Version
			}
		})
	}
	wg.Wait()
	highest := ident.Version(0)
	for _, v := range versions {
		highest = max(highest, v)
	}
	return highest
}

func (c *Client) previewRestore(ctx context.Context, a *accept.Acceptor, from, served ident.Version) error {
	plan, err := a.PlanRestore(ctx, from, served)
	if err != nil {
		return err
	}
	var cur *agree.Agreement
	if plan.Damage == "" {
		if _, _, cur, err = c.loadAccepted(ctx); err != nil {
			return err
		}
	}
	return c.print(plan, func(w io.Writer) { writePlan(w, plan, cur) })
}

func writePlan(w io.Writer, plan accept.Plan, cur *agree.Agreement) {
	ch := plan.Change
	switch {
	case plan.Damage != "":
		_, _ = fmt.Fprintf(w, "head is damaged: %s\n", plan.Damage)
		_, _ = fmt.Fprintf(w, "Version %d, the %d rows of which are intact, would be accepted again as Version %d; nothing applied\n",
			plan.Restored, len(ch.Put), plan.Version)
	case ch.IsEmpty():
		_, _ = fmt.Fprintf(w, "head %d has the rows of Version %d already\n", plan.Base, plan.Restored)
		return
	default:
		writeDiff(w, cur, ch, plan.Base)
	}
	_, _ = fmt.Fprintf(w, "to apply it: marjoramcroft restore -base %d %d\n", plan.Base, plan.Restored)
}

// restoreError adds the conflicting rows with both values to a conflict, and the change id to an unknown
// outcome.
func restoreError(id ident.ChangeID, err error) error {
	var ce *accept.ConflictError
	if errors.As(err, &ce) {
		text := ""
		for _, conflict := range ce.Conflicts {
			text += "\n" + conflict.String()
		}
		return fmt.Errorf("%w; nothing applied, head is now %d%s", accept.ErrConflict, ce.Head, text)
	}
	return unknownOutcomeError(id, err)
}
