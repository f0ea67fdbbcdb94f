package client

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/accept"
)

// summary is the output of the command report.
type summary struct {
	From, Until time.Time
	Version     versionReport
	StoreError  string          `json:",omitempty"` // why the changes could not be read
	Damage      string          `json:",omitempty"` // of the head in the store
	Days        []changeCounts  // by UTC day of acceptance, newest first
	Authors     []changeCounts  // by descending number of changes
	Damaged     []string        `json:",omitempty"` // history records that cannot be read
	Refusals    []refusalReport // since the start of each daemon, by descending count
	Caps        []capReport     // since the start of each daemon, by descending count
	Unread      []string        `json:",omitempty"` // daemons whose counters could not be read
	Laggards    []daemonReport  // daemons that are behind, not ready or unreachable
	status      statusReport
}

func (c *Client) reportCommand() command {
	var since time.Duration
	return command{
		name:  "report",
		short: "Summarise changes, when they came into force, refusals, caps and laggards.",
		long: "Changes come from the history, all else from the daemons of the setting Daemons. Their counters run since\n" +
			"the start of each daemon, whatever -since says. Exit codes are those of status.",
		flags: func(fs *flag.FlagSet) {
			fs.DurationVar(&since, "since", 24*time.Hour, "report changes accepted in this time")
		},
		run: func(ctx context.Context, args []string) error {
			if err := checkArgs(args); err != nil {
				return err
			}
			if since <= 0 {
				return fmt.Errorf("%w: flag -since is %s, must be above 0", errUsage, since)
			}
			ctx, cancel := c.withTimeout(ctx)
			defer cancel()
			s := c.summarise(ctx, since)
			if err := c.print(s, s.write); err != nil {
				return err
			}
			return s.status.err()
		},
	}
}

// summarise collects the changes accepted within since and the status and counters of the daemons.
func (c *Client) summarise(ctx context.Context, since time.Duration) summary {
	now := time.Now().UTC()
	s := summary{From: now.Add(-since), Until: now}
	head, entries, err := c.changesSince(ctx, s.From)
	s.status = c.collectStatus(ctx)
	s.StoreError, s.Damage = s.status.StoreError, s.status.Damage
	if err != nil && s.StoreError == "" {
		s.StoreError, s.status.StoreError = err.Error(), err.Error()
	}
	s.addChanges(entries)
	s.Version = newVersionReport(head, s.status)
	for _, d := range s.status.Daemons {
		if d.Lag != "" {
			s.Laggards = append(s.Laggards, d)
		}
	}
	s.addCounters(c.fetchCounters(ctx))
	return s
}

// changesSince returns the head and the history entries accepted since t.
func (c *Client) changesSince(ctx context.Context, t time.Time) (accept.Head, []accept.Entry, error) {
	a, err := c.newAcceptor()
	if err != nil {
		return accept.Head{}, nil, err
	}
	head, err := a.Examine(ctx, 0)
	if err != nil {
		return accept.Head{}, nil, err
	}
	entries, err := a.Since(ctx, head, t)
	return head, entries, err
}
