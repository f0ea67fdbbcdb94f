package client

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

func (s summary) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "changes accepted from %s to %s\n", s.From.Format(time.RFC3339), s.Until.Format(time.RFC3339))
	if s.StoreError != "" {
		_, _ = fmt.Fprintf(w, "not known, store not reachable: %s\n", s.StoreError)
	}
	if s.Damage != "" {
		_, _ = fmt.Fprintln(w, s.Damage)
	}
	for _, d := range s.Damaged {
		_, _ = fmt.Fprintf(w, "record not counted: %s\n", d)
	}
	s.writeChanges(w)
	s.Version.write(w)
	s.writeCounters(w)
	s.writeLaggards(w)
}

func (s summary) writeChanges(w io.Writer) {
	if len(s.Days) == 0 {
		_, _ = fmt.Fprintln(w, "no changes")
		return
	}
	writeTable(w, "DAY\tSHEETS\tCORRECTIONS\tRESTORES\tROWS", s.Days, changeCounts.row)
	writeTable(w, "AUTHOR\tSHEETS\tCORRECTIONS\tRESTORES\tROWS", s.Authors, changeCounts.row)
}

func (c changeCounts) row() string {
	return fmt.Sprintf("%s\t%d\t%d\t%d\t%d", c.Name, c.Sheets, c.Corrections, c.Restores, c.Rows)
}

func (v versionReport) write(w io.Writer) {
	if v.Version == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\nVersion %d, accepted %s: ", v.Version, v.Accepted.Format(time.RFC3339))
	if v.Measured > 0 {
		_, _ = fmt.Fprintf(w, "in force at %d daemons, median after %s, last after %s; ", v.Measured,
			v.Median.Round(time.Millisecond), v.Slowest.Round(time.Millisecond))
	}
	_, _ = fmt.Fprintf(w, "%d behind, %d without a time because they started with it\n", v.Behind, v.Started)
}

func (s summary) writeCounters(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\nrefusals since the start of each daemon; a forwarded call counts at each daemon that refused it")
	for _, u := range s.Unread {
		_, _ = fmt.Fprintf(w, "not counted: %s\n", u)
	}
	if len(s.Refusals) == 0 {
		_, _ = fmt.Fprintln(w, "none")
	} else {
		writeTable(w, "REASON\tRAN\tREFUSALS", s.Refusals, func(r refusalReport) string {
			return fmt.Sprintf("%s\t%s\t%d", r.Reason, r.Ran, r.Count)
		})
	}
	_, _ = fmt.Fprintln(w, "\ncaps with all units in use at a daemon when a call came, since the start of each daemon")
	if len(s.Caps) == 0 {
		_, _ = fmt.Fprintln(w, "none")
		return
	}
	writeTable(w, "CAP\tREFUSALS\tDAEMONS", s.Caps, func(r capReport) string {
		return fmt.Sprintf("%s\t%d\t%d", r.Cap, r.Refusals, r.Daemons)
	})
}

func (s summary) writeLaggards(w io.Writer) {
	if len(s.Laggards) == 0 {
		_, _ = fmt.Fprintf(w, "\nno laggards among %d daemons\n", len(s.status.Daemons))
		return
	}
	_, _ = fmt.Fprintln(w)
	writeTable(w, "LAGGARD\tLAG", s.Laggards, func(d daemonReport) string { return d.Addr + "\t" + d.Lag })
}

// writeTable writes the header and one line for each row in aligned columns.
func writeTable[T any](w io.Writer, header string, rows []T, formatRow func(T) string) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, header)
	for _, r := range rows {
		_, _ = fmt.Fprintln(tw, formatRow(r))
	}
	_ = tw.Flush()
}
