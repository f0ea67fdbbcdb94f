package accept

import (
	"context"
	"time"
)

// maxClockSkew is the assumed maximum difference between the clocks of operators' VMs, which set the
// times of records. The times of adjacent Versions may be out of order by as much.
const maxClockSkew = 5 * time.Minute

// Since returns the records up to head that were accepted at or after t, newest first, without reading
// chunks. For damaged records in between, only Version and Damage are set.
func (a *Acceptor) Since(ctx context.Context, head Head, t time.Time) ([]Entry, error) {
	var out []Entry
	add := func(e Entry) bool {
		if e.Damage != "" || !e.Time.Before(t) {
			out = append(out, e)
		}
		return e.Damage != "" || !e.Time.Before(t.Add(-maxClockSkew))
	}
	// The record of head may not be in the history yet.
	if head.Version > 0 {
		add(Entry{Record: head.Record})
	}
	err := a.eachRecord(ctx, head.newestDescribed(), 0, func(e Entry) bool { return e.Version == head.Version || add(e) })
	return out, err
}
