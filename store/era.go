package store

import (
	"cmp"
	"net/http"
	"strconv"
	"sync/atomic"
)

// HeaderEra is the header in which the store states its era in each answer.
const HeaderEra = "Store-Era"

// Era rises by one each time the store comes back from a copy of its state. What was written since the copy is lost, and
// its revisions and lease ids are given out again, so neither can be compared across eras. It is zero for a store
// that does not state it.
type Era int64

// ParseEra returns the era that the header of an answer states; zero if it states none.
func ParseEra(h http.Header) Era {
	n, err := strconv.ParseInt(h.Get(HeaderEra), 10, 64)
	if err != nil {
		return 0
	}
	return Era(n)
}

// String formats e in decimal.
func (e Era) String() string { return strconv.FormatInt(int64(e), 10) }

// Position is a point in the history of the store.
type Position struct {
	Era      Era
	Revision int64 // zero, in any era: before the first change
}

// Compare returns a negative number if p is before q, zero if they are equal, and a positive number otherwise.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// Later returns the later of p and q.
func (p Position) Later(q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}

// IsPassedBy reports whether a watch from p returns v: v was written after p or in another era, or its key was deleted.
func (p Position) IsPassedBy(v Value) bool {
	if p.Revision == 0 || v.Revision == 0 {
		return p.Revision != v.Revision
	}
	return v.Era != p.Era || v.Revision > p.Revision
}

// String returns the era and the revision.
func (p Position) String() string {
	return p.Era.String() + "/" + strconv.FormatInt(p.Revision, 10)
}

// EraTracker holds the highest era that a driver has seen in an answer. Its methods are safe for concurrent use.
type EraTracker struct{ highest atomic.Int64 }

// Observe records the era of an answer.
func (t *EraTracker) Observe(e Era) {
	for {
		cur := t.highest.Load()
		if int64(e) <= cur || t.highest.CompareAndSwap(cur, int64(e)) {
			return
		}
	}
}

// Era returns the highest era so far; zero if there is none.
func (t *EraTracker) Era() Era { return Era(t.highest.Load()) }
