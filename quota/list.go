package quota

import (
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// List is the holder list of a service as sent to holders. It also determines the homes of
// idempotency keys that are not bound to a home; see dedup.Bound.
type List struct {
	Version uint64
	Holders []ident.Addr
	Prev    []ident.Addr `msgpack:",omitempty"` // previous list, until all its holders have acknowledged Version
	Acked   []ident.Addr `msgpack:",omitempty"` // holders in Prev that have acknowledged Version
	Lost    []Lost       `msgpack:",omitempty"`
	// Longest is the maximum time left of an admitted call. It never decreases, so that after
	// a timeout was lowered the calls of a lost process are still waited for long enough.
	Longest time.Duration
}

// Lost is a holder that left the list without handing over its idempotency records.
type Lost struct {
	Addr  ident.Addr
	Left  time.Duration  // time until its records expire, as of when the list was sent
	Among [][]ident.Addr // the lists in which it was a key home
}

// Home reports whether the lost holder was the home of key.
func (l Lost) Home(key string) bool {
	return slices.ContainsFunc(l.Among, func(addrs []ident.Addr) bool {
		return FirstRanked(key, addrs) == l.Addr
	})
}
