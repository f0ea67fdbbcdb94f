package dedup

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/quota"
)

var errRecords = errors.New("records not accepted")

// pendingRecord is a record to be sent, with the revision it was copied at.
type pendingRecord struct {
	key Scope
	rev uint64
	rec Record
}

// scan drops expired records and, once per list version, hands over the records whose home
// is another daemon. Claims never create such records.
func (t *Table) scan(ctx context.Context) {
	t.expireCustody()
	t.sweep()
	l := t.d.List()
	if l.Version == 0 || t.start.Load() == startUnknown || t.ready.Load() >= l.Version {
		return
	}
	byHome := t.collect(func(key Scope) ident.Addr {
		return quota.FirstRanked(key.homeKey(), l.Holders)
	})
	if t.send(ctx, byHome, l.Version) != nil {
		return // the next scan retries
	}
	// After an unclean start the list version is not acknowledged, because the new home
	// would not know which keys may have run.
	if !t.mayMissRecords() {
		t.ready.Store(l.Version)
	}
}

// sweep drops the expired records of one shard, a different one on each call.
func (t *Table) sweep() {
	now := time.Now()
	s := &t.shards[t.sweeps%shardCount]
	t.sweeps++
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.entries {
		if !now.Before(e.expires) {
			t.drop(s, key)
		}
	}
}

// collect returns the records of free keys whose home is another daemon, by that daemon.
func (t *Table) collect(home func(Scope) ident.Addr) map[ident.Addr][]pendingRecord {
	out := map[ident.Addr][]pendingRecord{}
	now := time.Now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for key, e := range s.entries {
			if e.bound || key.Service != t.d.Service || !now.Before(e.expires) {
				continue
			}
			if a := home(key); a != t.d.Addr && a != "" {
				out[a] = append(out[a], pendingRecord{key, e.rev, e.record(key, now)})
			}
		}
		s.mu.Unlock()
	}
	return out
}

// send hands over records and drops each one that has not changed since it was copied.
func (t *Table) send(ctx context.Context, byHome map[ident.Addr][]pendingRecord, version uint64) error {
	var mu sync.Mutex
	var errs []error
	var wg sync.WaitGroup
	for addr, ps := range byHome {
		wg.Go(func() {
			if err := t.sendTo(ctx, addr, ps, version); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (t *Table) sendTo(ctx context.Context, addr ident.Addr, ps []pendingRecord, version uint64) error {
	changed := false
	for part := range chunks(ps, func(p pendingRecord) int { return entryBytes + p.rec.Answer.size() }) {
		m := Handover{From: t.d.Addr, Version: version}
		for _, p := range part {
			m.Records = append(m.Records, p.rec)
		}
		cctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := t.d.Call(cctx, addr, TypeHandover, m, nil)
		cancel()
		if err != nil {
			t.d.Stats.Inc("Dedup.HandoverFailed")
			return fmt.Errorf("hand over %d records to %s: %w", len(part), addr, err)
		}
		t.d.Stats.Add("Dedup.HandedOver", int64(len(part)))
		for _, p := range part {
			s := t.shard(p.key)
			s.mu.Lock()
			if e := s.entries[p.key]; e != nil && e.rev == p.rev {
				t.drop(s, p.key)
				if e.state == StateRunning {
					close(e.done) // waiting claims find that the key has moved
				}
			} else if e != nil {
				changed = true // call finished in the meantime; the next scan resends the record
			}
			s.mu.Unlock()
		}
	}
	if changed {
		return errRecords
	}
	return nil
}

// handover handles a Handover: it merges records whose new home is this daemon.
func (t *Table) handover(m Handover) error {
	if v := t.d.List().Version; t.closed.Load() || m.Version != v {
		return fmt.Errorf("%w: list version %d here, %d there", errRecords, v, m.Version)
	}
	return t.merge(m.Records)
}

// merge adds records to the table. An existing record is replaced if it was released, and
// updated if it is running and the same call has ended.
func (t *Table) merge(recs []Record) error {
	now := time.Now()
	for _, r := range recs {
		s := t.shard(r.Scope)
		s.mu.Lock()
		old := s.entries[r.Scope]
		switch {
		case old == nil || old.state == StateReleased:
			// A transferred record is kept even if the table is full: without it the
			// call might run twice.
			t.put(s, r.Scope, r.entry(now))
		case old.state == StateRunning && old.call == r.Call && r.State != StateRunning:
			t.bytes.Add(-old.bytes(r.Scope))
			old.complete(r.State, r.Answer)
			old.expires = now.Add(r.Left)
			t.bytes.Add(old.bytes(r.Scope))
		}
		s.mu.Unlock()
	}
	return nil
}

// chunks splits items into parts of at most chunkBytes each; a larger item is a part alone.
func chunks[T any](items []T, size func(T) int) func(yield func([]T) bool) {
	return func(yield func([]T) bool) {
		from, n := 0, 0
		for i, x := range items {
			if n += size(x); n > chunkBytes && i > from {
				if !yield(slices.Clone(items[from:i])) {
					return
				}
				from, n = i, size(x)
			}
		}
		if from < len(items) {
			yield(items[from:])
		}
	}
}

// HandOverAll hands the records of all free keys to the remaining holders before this daemon
// leaves the list; call it before quota.Holder.Leave with remove. The table serves no key
// afterwards. After an error the holder must not be removed: records of an earlier process
// are missing, or a holder did not accept its records.
func (t *Table) HandOverAll(ctx context.Context) error {
	t.closed.Store(true)
	if t.mayMissRecords() {
		return fmt.Errorf("%w: records of an earlier process are missing", errRecords)
	}
	l := t.d.List()
	rest := without(l.Holders, t.d.Addr)
	return t.send(ctx, t.collect(func(key Scope) ident.Addr {
		return quota.FirstRanked(key.homeKey(), rest)
	}), l.Version)
}

func without(addrs []ident.Addr, a ident.Addr) []ident.Addr {
	return slices.DeleteFunc(slices.Clone(addrs), func(x ident.Addr) bool { return x == a })
}
