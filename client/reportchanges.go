package client

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// changeCounts counts the accepted changes of one day or author.
type changeCounts struct {
	Name                          string // day or author
	Sheets, Corrections, Restores int
	Rows                          int // rows put or deleted
}

func (c changeCounts) total() int { return c.Sheets + c.Corrections + c.Restores }

func (c *changeCounts) add(e accept.Entry) {
	switch e.Kind {
	case accept.KindSheet:
		c.Sheets++
	case accept.KindCorrection:
		c.Corrections++
	case accept.KindRestore:
		c.Restores++
	}
	c.Rows += e.Put + e.Deleted
}

// addChanges counts the entries by day and by author.
func (s *summary) addChanges(entries []accept.Entry) {
	days, authors := map[string]*changeCounts{}, map[string]*changeCounts{}
	count := func(m map[string]*changeCounts, name string, e accept.Entry) {
		if m[name] == nil {
			m[name] = &changeCounts{Name: name}
		}
		m[name].add(e)
	}
	for _, e := range entries {
		if e.Damage != "" {
			s.Damaged = append(s.Damaged, fmt.Sprintf("Version %d: %s", e.Version, e.Damage))
			continue
		}
		count(days, e.Time.UTC().Format(time.DateOnly), e)
		count(authors, e.Author, e)
	}
	s.Days = sortedChanges(days, func(a, b changeCounts) int { return -cmp.Compare(a.Name, b.Name) })
	s.Authors = sortedChanges(authors, func(a, b changeCounts) int {
		return cmp.Or(-cmp.Compare(a.total(), b.total()), cmp.Compare(a.Name, b.Name))
	})
}

func sortedChanges(m map[string]*changeCounts, order func(a, b changeCounts) int) []changeCounts {
	var out []changeCounts
	for c := range maps.Values(m) {
		out = append(out, *c)
	}
	slices.SortFunc(out, order)
	return out
}

// versionReport describes when the accepted Version came into force at the daemons that answered.
type versionReport struct {
	Version  ident.Version
	Accepted time.Time // by the clock of the client that proposed it
	// Median and Slowest are computed from the times between acceptance and the Version coming into force
	// at the Measured daemons, each by its own clock.
	Median, Slowest time.Duration
	Measured        int
	Behind          int // daemons with an earlier Version
	Started         int // daemons whose process had no earlier Version, so that no time is known
}

// newVersionReport compares the Versions of the daemons with head.
func newVersionReport(head accept.Head, r statusReport) versionReport {
	v := versionReport{Version: head.Version, Accepted: head.Time}
	var times []time.Duration
	for _, d := range r.Daemons {
		switch {
		case d.Status == nil || head.Version == 0:
		case d.Status.Version < head.Version:
			v.Behind++
		case d.Status.Version > head.Version: // accepted after head was read
		case d.Status.Since.IsZero():
			v.Started++
		default:
			times = append(times, d.Status.Since.Sub(head.Time))
		}
	}
	if v.Measured = len(times); v.Measured > 0 {
		slices.Sort(times)
		v.Median, v.Slowest = (times[(v.Measured-1)/2]+times[v.Measured/2])/2, times[v.Measured-1]
	}
	return v
}
