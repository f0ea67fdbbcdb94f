package client

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/marjoramcroft/marjoramcroft/audit"
)

// maxAccountCauses limits the causes in the output of the command account; the rest is summed up.
const maxAccountCauses = 20

func (c *Client) accountCommand() command {
	var from, until string
	return command{
		name:  "account",
		usage: "LOG...",
		short: "Account for the calls in the logs of daemons: outcomes, causes of refusals and attempts.",
		long: "Reads the standard output of marjoramcroftd platform, of any number of daemons in one or more files; - is the\n" +
			"standard input. Lines that cannot be read are counted. Needs neither the store nor a daemon.",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&from, "from", "", "first time that counts, such as 2026-01-15T22:40:18Z")
			fs.StringVar(&until, "until", "", "time from which on nothing counts")
		},
		run: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return fmt.Errorf("%w: expected the names of log files, or -", errUsage)
			}
			start, err := parseTimeFlag("from", from)
			if err != nil {
				return err
			}
			end, err := parseTimeFlag("until", until)
			if err != nil {
				return err
			}
			a, err := readAccount(args, audit.New(start, end))
			if err != nil {
				return err
			}
			return c.print(a, func(w io.Writer) { writeAccount(w, a) })
		},
	}
}

// parseTimeFlag parses the value of a flag; an empty one is the zero time.
func parseTimeFlag(name, value string) (time.Time, error) {
	if value == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return t, fmt.Errorf("%w: flag -%s: %w", errUsage, name, err)
	}
	return t, nil
}

// readAccount reads the logs with the given names into col.
func readAccount(names []string, col *audit.Collector) (audit.Account, error) {
	for _, name := range names {
		if err := readLog(name, col); err != nil {
			return audit.Account{}, fmt.Errorf("%s: %w", name, err)
		}
	}
	return col.Account(), nil
}

func readLog(name string, col *audit.Collector) error {
	if name == "-" {
		return col.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return col.Read(f)
}

func writeAccount(w io.Writer, a audit.Account) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer tw.Flush()
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format+"\n", args...) }
	row("%d calls, %d log lines that cannot be read", a.Lines, a.Damaged)
	row("\nRoute\tCalls\tAnswered\tServerError\tNotRun\tUnknown\tCallerLeft")
	for _, r := range a.Routes {
		row("%s\t%d\t%d\t%d\t%d\t%d\t%d", r.Route, r.Calls, r.Answered, r.ServerError, r.NotRun, r.Unknown, r.CallerLeft)
	}
	row("\nRefused\tRoute\tReason\tRan\tLast attempt")
	for _, x := range a.Causes[:min(len(a.Causes), maxAccountCauses)] {
		row("%d\t%s\t%s\t%s\t%s", x.Calls, x.Route, x.Reason, x.Ran, x.LastAttempt)
	}
	if rest := a.Causes[min(len(a.Causes), maxAccountCauses):]; len(rest) > 0 {
		n := 0
		for _, x := range rest {
			n += x.Calls
		}
		row("%d\t%d further causes\t\t\t", n, len(rest))
	}
	row("\nAttempts\tDistance\tOutcome")
	for _, x := range a.Attempts {
		row("%d\t%s\t%s", x.Attempts, x.Distance, x.Outcome)
	}
}
