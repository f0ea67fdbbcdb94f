package fanout

import (
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Limits of the history. Subscribers that are further behind get a snapshot.
const (
	maxHistorySteps = 64
	// maxHistoryRows limits the memory of the history to about 1 MB.
	maxHistoryRows = 4096
)

// step is one change of the held state.
type step struct {
	base     ident.Version
	baseHash agree.Hash
	version  ident.Version
	change   agree.Change
	inserted map[agree.Key]struct{} // rows that the base does not have
}

// history keeps the most recent steps, each based on the previous one.
type history struct {
	steps    []step
	rowCount int
}

// record appends the step from old to cur and evicts the oldest steps beyond the limits.
func (h *history) record(old, cur *agree.Agreement) {
	c, ok := agree.DiffWithin(old, cur, maxHistoryRows)
	if !ok {
		*h = history{}
		return
	}
	s := step{
		base: old.Version(), baseHash: old.Hash(), version: cur.Version(),
		change: c, inserted: map[agree.Key]struct{}{},
	}
	for _, r := range s.change.Put {
		if _, ok := old.Row(r.Key()); !ok {
			s.inserted[r.Key()] = struct{}{}
		}
	}
	h.steps = append(h.steps, s)
	h.rowCount += s.change.Len()
	for len(h.steps) > 0 && (len(h.steps) > maxHistorySteps || h.rowCount > maxHistoryRows) {
		h.rowCount -= h.steps[0].change.Len()
		h.steps = h.steps[1:]
	}
}

// mergeSince returns the change from base to the newest state. It returns false if the history
// does not reach back to base or base has another hash.
func (h *history) mergeSince(base ident.Version, hash agree.Hash) (agree.Change, bool) {
	from := -1
	for i, s := range h.steps {
		if s.base == base && s.baseHash == hash {
			from = i
			break
		}
	}
	if from < 0 {
		return agree.Change{}, false
	}
	return mergeSteps(h.steps[from:]), true
}

// mergeSteps merges steps into one change. A row that was inserted and deleted within the steps
// is left out, since the base has no such row to delete.
func mergeSteps(steps []step) agree.Change {
	put := map[agree.Key]agree.Row{}
	deleted := map[agree.Key]struct{}{}
	inserted := map[agree.Key]struct{}{}
	for _, s := range steps {
		for _, k := range s.change.Delete {
			delete(put, k)
			if _, ok := inserted[k]; ok {
				delete(inserted, k)
				continue
			}
			deleted[k] = struct{}{}
		}
		for _, r := range s.change.Put {
			k := r.Key()
			put[k] = r
			_, back := deleted[k]
			delete(deleted, k)
			if _, ok := s.inserted[k]; ok && !back {
				inserted[k] = struct{}{}
			}
		}
	}
	var c agree.Change
	for _, r := range put {
		c.Put = append(c.Put, r)
	}
	for k := range deleted {
		c.Delete = append(c.Delete, k)
	}
	return sortChange(c)
}
