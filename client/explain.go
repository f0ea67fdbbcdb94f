package client

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/marjoramcroft/marjoramcroft/admin"
)

func (c *Client) explainCommand() command {
	var member, method, path string
	return command{
		name:  "explain",
		short: "Show the route, the cap and the backend servers that apply to a call, and why.",
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&member, "member", "", "member that calls")
			fs.StringVar(&method, "method", http.MethodGet, "HTTP method")
			fs.StringVar(&path, "path", "", "path of the call")
		},
		run: func(ctx context.Context, args []string) error {
			if err := checkArgs(args); err != nil {
				return err
			}
			if member == "" || path == "" {
				return fmt.Errorf("%w: flags -member and -path are required", errUsage)
			}
			ctx, cancel := c.withTimeout(ctx)
			defer cancel()
			q := url.Values{"member": {member}, "method": {method}, "path": {path}}
			var ex admin.Explanation
			if err := c.firstDaemon(func(addr string) error { return c.getJSON(ctx, addr, "explain", q, &ex) }); err != nil {
				return err
			}
			return c.print(ex, func(w io.Writer) { writeExplanation(w, ex) })
		},
	}
}

// firstDaemon calls f with the address of each daemon in the settings, in order, until a call succeeds. It
// returns the errors of all calls if none does.
func (c *Client) firstDaemon(f func(addr string) error) error {
	errs := []error{fmt.Errorf("%w: no daemon answered", errUsage)}
	for _, addr := range c.settings.Daemons {
		err := f(addr)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	if len(errs) > 1 {
		errs = errs[1:]
	}
	return errors.Join(errs...)
}

func writeExplanation(w io.Writer, ex admin.Explanation) {
	_, _ = fmt.Fprintf(w, "Version %d, %s %s by member %s\n", ex.Version, ex.Method, ex.Path, ex.Member)
	if ex.Route != nil {
		_, _ = fmt.Fprintf(w, "route %s: prefix %s is the longest that matches; service %s, %s work, timeout %s\n",
			ex.Route.Route, ex.Route.Prefix, ex.Route.Service, ex.Route.Class, ex.Route.Timeout)
		retries := "runs at most once, no retry after it may have run"
		if ex.Idempotent {
			retries = "idempotent, may be retried and hedged"
		}
		_, _ = fmt.Fprintf(w, "the call %s (Repeat=%s)\n", retries, ex.Route.Repeat)
		_, _ = fmt.Fprintf(w, "cap: %d concurrent calls of member %s in service %s\n", ex.Cap, ex.Member, ex.Route.Service)
	}
	if ex.Refused != "" {
		_, _ = fmt.Fprintf(w, "the call would be refused: %s\n", ex.Refused)
	}
	if len(ex.Servers) == 0 {
		return
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "SERVER\tDATA CENTRE\tSTATE\tUSED")
	for _, s := range ex.Servers {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", s.Addr, s.Place.DataCentre, s.State, describeSelection(s))
	}
	_ = tw.Flush()
}

// describeSelection says when the daemon sends calls to a server at this distance and in this state.
func describeSelection(s admin.ServerChoice) string {
	if s.State != "Ready" {
		return "no: not ready"
	}
	switch s.Distance {
	case 0:
		return "first: same data centre"
	case 1:
		return "next: same region"
	default:
		return "last: across the paid link, when the rest cannot serve"
	}
}
