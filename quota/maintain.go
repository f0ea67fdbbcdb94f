package quota

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// maintain updates the state of the term and writes the record if it has changed.
func (k *Keeper) maintain(ctx context.Context, t *term) {
	k.mu.Lock()
	now := k.d.Clock.Mono()
	allWithheld, pinnableWithheld := t.withheld(now)
	for member, pool := range t.pools {
		if pool.expire(now, t.lastExchange) {
			delete(t.pools, member)
		}
		k.notifyHolders(t, member, allWithheld, pinnableWithheld)
	}
	if t.newAcks {
		t.newAcks = false
		t.state++
	}
	rec, removed, changed := t.nextRecord(now, k.d.Clock.Wall(), k.d.LongTimeout())
	k.mu.Unlock()
	if !changed {
		return
	}
	if err := k.writeRecord(ctx, t, rec); err != nil {
		if errors.Is(err, errConflict) {
			k.endTerm(t)
		}
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, addr := range removed {
		k.d.Log.Emit(event.HolderRemoved, "Service", k.d.Service, "Holder", addr, "ListVersion", rec.ListVersion)
		t.retainStale(t.peers[addr])
		t.dropPeer(addr)
	}
	now = k.d.Clock.Mono()
	for _, addr := range slices.Concat(rec.Holders, rec.Joining) {
		delete(t.unlisted, addr)
		if t.peers[addr] == nil {
			// A holder that was not listed before had no units.
			p := t.addPeer(addr, now)
			p.answered, p.joined, p.cleanLeave = true, true, true
		}
	}
}

// nextRecord returns the record with all changes that are due. Holders leave at any time, but
// join one batch at a time, since the idempotency records of a key have to move from one home
// to the next.
func (t *term) nextRecord(now time.Duration, wall time.Time, longest time.Duration) (rec Record, removed []ident.Addr, changed bool) {
	rec = t.rec.clone()
	if longest > rec.Longest {
		rec.Longest, changed = longest, true
	}
	if n := len(rec.Lost); n > 0 {
		rec.Lost = slices.DeleteFunc(rec.Lost, func(l LostRecord) bool { return l.Until <= wall.Unix() })
		changed = changed || len(rec.Lost) != n
	}
	if len(rec.Prev) > 0 {
		if _, all := t.acknowledged(); all {
			rec.Prev, changed = nil, true
		}
	}
	removed = t.departing(now)
	if len(removed) > 0 {
		t.removeHolders(&rec, removed, wall)
		return rec, removed, true
	}
	unlisted := slices.Sorted(maps.Keys(t.unlisted))
	switch {
	case len(rec.Prev) == 0 && len(unlisted)+len(rec.Joining) > 0:
		old := rec.Holders
		rec.Holders = slices.Concat(old, rec.Joining, unlisted)
		slices.Sort(rec.Holders)
		rec.Prev, rec.Joining = old, nil
		rec.ListVersion++
		changed = true
	case len(unlisted) > 0:
		rec.Joining = append(rec.Joining, unlisted...)
		changed = true
	}
	return rec, nil, changed
}

// departing returns the listed holders that are to be removed now.
func (t *term) departing(now time.Duration) []ident.Addr {
	var out []ident.Addr
	for addr, p := range t.peers {
		if p.removing || p.retired || now-p.lastExchange > withClockTolerance(BaseLeaseTTL) {
			// Accept no further Sync while the change is written.
			p.retired = true
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}

// removeHolders removes addresses from rec. Holders that did not hand over their idempotency
// records are recorded as lost.
func (t *term) removeHolders(rec *Record, removed []ident.Addr, wall time.Time) {
	among := [][]ident.Addr{t.rec.Holders}
	if len(t.rec.Prev) > 0 {
		among = append(among, t.rec.Prev)
	}
	for _, addr := range removed {
		if !t.peers[addr].removing && slices.Contains(rec.Holders, addr) {
			until := wall.Add(withClockTolerance(RecordRetention) + time.Second).Unix()
			rec.Lost = append(rec.Lost, LostRecord{Addr: addr, Until: until, Among: among})
		}
	}
	gone := func(a ident.Addr) bool { return slices.Contains(removed, a) }
	old := slices.Clone(rec.Holders)
	rec.Holders = slices.DeleteFunc(rec.Holders, gone)
	rec.Joining = slices.DeleteFunc(rec.Joining, gone)
	if len(rec.Holders) == len(old) {
		return
	}
	if len(rec.Prev) == 0 {
		rec.Prev = old
	}
	rec.ListVersion++
}
