package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/marjoramcroft/marjoramcroft/accept"
)

func (c *Client) historyCommand() command {
	var n int
	return command{
		name:  "history",
		short: "List the last accepted Versions, newest first.",
		long: "ROWS is kept, missing (removed by a collection) or damaged; only a Version whose rows are kept can be\n" +
			"restored. The exit code is 9 if head is damaged.",
		flags: func(fs *flag.FlagSet) { fs.IntVar(&n, "n", 20, "number of Versions") },
		run: func(ctx context.Context, args []string) error {
			if err := checkArgs(args); err != nil {
				return err
			}
			return c.history(ctx, n)
		},
	}
}

func (c *Client) history(ctx context.Context, n int) error {
	a, err := c.newAcceptor()
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	head, err := a.Examine(ctx, 0)
	if err != nil {
		return err
	}
	entries, err := a.History(ctx, head, n)
	if err != nil {
		return err
	}
	if err := c.print(entries, func(w io.Writer) { writeHistory(w, entries) }); err != nil {
		return err
	}
	return damageError(head)
}

func writeHistory(w io.Writer, entries []accept.Entry) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "VERSION\tTIME\tAUTHOR\tKIND\tBASE\tPUT\tDELETED\tROWS\tCHANGE")
	for _, e := range entries {
		if e.Kind == "" {
			_, _ = fmt.Fprintf(tw, "%d\t-\t-\t-\t-\t-\t-\t%s\t%s\n", e.Version, e.Rows, e.Damage)
			continue
		}
		kind := string(e.Kind)
		if e.Restored > 0 {
			kind = fmt.Sprintf("%s of %d", e.Kind, e.Restored)
		}
		_, _ = fmt.Fprintf(tw, "%d\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n",
			e.Version, e.Time.Format(time.RFC3339), e.Author, kind, e.Base, e.Put, e.Deleted, e.Rows, e.Change)
	}
	_ = tw.Flush()
}

// damageError returns an error that describes the damage of head, or nil if head is intact.
func damageError(head accept.Head) error {
	if head.Damage == nil {
		return nil
	}
	return fmt.Errorf("head is damaged, daemons keep the Version that they have, see marjoramcroft restore -dry-run: %w", head.Damage)
}
