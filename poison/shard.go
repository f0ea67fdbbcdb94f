package poison

import (
	"sync"
	"time"
)

const (
	// shardCount is the number of shards, each with its own lock, as every call does a lookup.
	shardCount = 16
	// maxSuspects limits the table. A crash adds at most one suspect per connection of a
	// backend server (120), so that 136 crashes within Expiry fit. With 4,096 entries, 50
	// crashing requests that were resent in turn were never refused.
	maxSuspects = 16384
	// answersKept is the number of answered requests in one generation of a shard. A daemon answers some 150
	// requests/s, so that a request that comes each 10 s is kept.
	answersKept = 128
)

// shard holds the suspects and the answers whose fingerprints hash to it, under its own lock.
type shard struct {
	mu      sync.RWMutex
	entries map[Fingerprint]*entry
	// answers and older are two generations of requests that were answered lately, with the times.
	answers, older map[Fingerprint]time.Time
}

// get returns the entry of a suspect that has not expired; nil if there is none.
func (t *shard) get(fp Fingerprint, now time.Time) *entry {
	if e := t.entries[fp]; e != nil && now.Before(e.until()) {
		return e
	}
	return nil
}

// add returns the entry of a suspect, which is made if there is none, and whether another one had to make room.
func (t *shard) add(fp Fingerprint, now time.Time) (e *entry, evicted bool) {
	if e := t.get(fp, now); e != nil {
		return e, false
	}
	if len(t.entries) >= maxSuspects/shardCount {
		t.evict(now)
		evicted = true
	}
	e = &entry{last: now}
	t.entries[fp] = e
	return e, evicted
}

// evict removes all expired entries. If there are none, it removes the entry with the fewest crashes, of these the
// one that expires first.
func (t *shard) evict(now time.Time) {
	var victim Fingerprint
	var found *entry
	var foundUntil time.Time
	expired := false
	for fp, e := range t.entries {
		until := e.until()
		if !now.Before(until) {
			delete(t.entries, fp)
			expired = true
			continue
		}
		if found == nil || len(e.crashes) < len(found.crashes) || len(e.crashes) == len(found.crashes) && until.Before(foundUntil) {
			victim, found, foundUntil = fp, e, until
		}
	}
	if !expired {
		delete(t.entries, victim)
	}
}

// recordAnswer records that a request was answered.
func (t *shard) recordAnswer(fp Fingerprint, now time.Time) {
	if _, ok := t.answers[fp]; !ok && len(t.answers) >= answersKept {
		t.answers, t.older = make(map[Fingerprint]time.Time, answersKept), t.answers
	}
	t.answers[fp] = now
}

// lastAnswer returns when a request was last answered; zero: not lately.
func (t *shard) lastAnswer(fp Fingerprint) time.Time {
	if at, ok := t.answers[fp]; ok {
		return at
	}
	return t.older[fp]
}
