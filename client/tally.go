package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/marjoramcroft/marjoramcroft/tally"
)

// tallyLeastCalls is the default of the flag -least: routes that are only probed have fewer calls.
const tallyLeastCalls = 100

func (c *Client) tallyCommand() command {
	least := tallyLeastCalls
	return command{
		name:  "tally",
		usage: "LOG...",
		short: "Count what became of the calls of each route in the logs of daemons for open services.",
		flags: func(fs *flag.FlagSet) {
			fs.IntVar(&least, "least", tallyLeastCalls, "leave out routes with fewer calls")
		},
		run: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return fmt.Errorf("%w: a log file is required", errUsage)
			}
			t := tally.New()
			for _, name := range args {
				if err := readDaemonLog(t, name); err != nil {
					return err
				}
			}
			return c.print(t.Rows(), func(w io.Writer) { _ = t.Write(w, least) })
		},
	}
}

func readDaemonLog(t *tally.Table, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := t.Read(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
