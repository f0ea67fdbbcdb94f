package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/marjoramcroft/marjoramcroft/emul"
)

// Result holds the measurements of one run of a deployment.
type Result struct {
	Deployment        string
	Daemons           int
	SheetLatency      time.Duration // from the acceptance of the sheet until it was in force everywhere, after a cold start
	CorrectionLatency time.Duration // the same for the correction, under load
	Load              emul.Report
	ControlRate       float64 // control bytes per daemon per second
	CrossRegionRate   float64 // control bytes between regions per second
	Violations        []string
}

// Write prints the results as a table, followed by the violations.
func Write(w io.Writer, rs []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name string, f func(r Result) string) {
		cells := []string{name}
		for _, r := range rs {
			cells = append(cells, f(r))
		}
		_, _ = fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	line("", func(r Result) string { return r.Deployment })
	line("daemons", func(r Result) string { return fmt.Sprint(r.Daemons) })
	line("calls sent", func(r Result) string { return fmt.Sprint(r.Load.Sent) })
	line("goodput, calls/s", func(r Result) string { return fmt.Sprintf("%.0f", r.Load.Goodput) })
	for _, name := range refusals(rs) {
		line("refused "+name, func(r Result) string { return fmt.Sprint(r.Load.Refusals[name]) })
	}
	line("broken connections", func(r Result) string { return fmt.Sprint(r.Load.Broken) })
	line("short work p50 / p99", func(r Result) string { return latency(r.Load.Short) })
	line("long work p50 / p99", func(r Result) string { return latency(r.Load.Long) })
	line("first sheet in force everywhere", func(r Result) string { return ms(r.SheetLatency) })
	line("correction in force everywhere", func(r Result) string { return ms(r.CorrectionLatency) })
	line("control bytes/s per daemon", func(r Result) string { return fmt.Sprintf("%.0f", r.ControlRate) })
	line("control bytes/s between regions", func(r Result) string { return fmt.Sprintf("%.0f", r.CrossRegionRate) })
	line("broken invariants", func(r Result) string { return fmt.Sprint(len(r.Violations)) })
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	for _, r := range rs {
		for _, b := range r.Violations {
			if _, err := fmt.Fprintf(w, "%s: %s\n", r.Deployment, b); err != nil {
				return fmt.Errorf("write results: %w", err)
			}
		}
	}
	return nil
}

func refusals(rs []Result) []string {
	names := map[string]bool{}
	for _, r := range rs {
		for name := range r.Load.Refusals {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func latency(l emul.Latency) string {
	return ms(l.P50) + " / " + ms(l.P99)
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000)
}
