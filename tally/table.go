package tally

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Table counts the calls in logs by route.
type Table struct {
	rows map[string]*Row
}

// New returns an empty Table.
func New() *Table { return &Table{rows: map[string]*Row{}} }

// Rows returns the rows, those with most calls first.
func (t *Table) Rows() []*Row {
	rows := slices.Collect(maps.Values(t.rows))
	slices.SortFunc(rows, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), strings.Compare(a.Route, b.Route))
	})
	return rows
}

func (t *Table) add(c call) {
	r := t.rows[c.route]
	if r == nil {
		r = &Row{Route: c.route, Service: c.service, Reasons: map[string]int{}}
		t.rows[c.route] = r
	}
	r.add(c)
}

// Write writes the table, with a line of reasons below each route that has refusals. Routes with fewer than least calls
// are left out.
func (t *Table) Write(w io.Writer, least int) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(tw, "route\tservice\tcalls\tattempts a call\t%s\treasons\n", strings.Join(names[:], "\t"))
	for _, r := range t.Rows() {
		if r.Calls < least {
			continue
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%.2f", cmp.Or(r.Route, "(none)"), r.Service, r.Calls, float64(r.Attempts)/float64(r.Calls))
		for _, n := range r.Outcomes {
			_, _ = fmt.Fprintf(tw, "\t%d", n)
		}
		_, _ = fmt.Fprintf(tw, "\t%s\n", reasons(r.Reasons))
	}
	return tw.Flush() //nolint:wrapcheck // the error of w
}

// reasons returns counted reasons as text, the most frequent first.
func reasons(counts map[string]int) string {
	list := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(a, b))
	})
	parts := make([]string, 0, len(list))
	for _, r := range list {
		parts = append(parts, fmt.Sprintf("%s %d", r, counts[r]))
	}
	return strings.Join(parts, ", ")
}
