package peers

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Limits on the earlier totals kept for a scope. At ten changes a second, more than planned,
// they cover 6 s, which is longer than a digest is in flight.
const (
	maxPastTotals = 64
	pastTotalTTL  = 10 * time.Second
)

// totals keeps the current and recent digests of each scope over all its services, and of
// all scopes together. A digest from another forwarder that equals a recent one is merely
// late: the difference is a change in flight and needs no comparison.
type totals struct {
	mu sync.RWMutex
	m  map[scope]*scopeTotal
}

type scopeTotal struct {
	mu     sync.Mutex
	value  uint64
	recent []pastTotal
}

type pastTotal struct {
	value uint64
	until time.Time
}

// term returns the contribution of a service to the total of a scope. It includes the name,
// so that the digests of two services are not interchangeable.
func term(id ident.ServiceID, digest uint64) uint64 {
	if digest == 0 {
		return 0
	}
	return digest ^ xxhash.Sum64String(string(id))
}

func (t *totals) get(sc scope) *scopeTotal {
	t.mu.RLock()
	s, ok := t.m[sc]
	t.mu.RUnlock()
	if ok {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.m[sc]; ok {
		return s
	}
	s = &scopeTotal{}
	t.m[sc] = s
	return s
}

func (t *totals) add(sc scope, delta uint64) {
	if delta == 0 {
		return
	}
	t.get(sc).add(delta)
	t.get(scopeAll).add(delta)
}

func (s *scopeTotal) add(delta uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recent) >= maxPastTotals {
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, pastTotal{s.value, time.Now().Add(pastTotalTTL)})
	s.value += delta
}

// value returns the total of the scope.
func (t *totals) value(sc scope) uint64 {
	s := t.get(sc)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// matches reports whether v is the current or a recent total of the scope.
func (t *totals) matches(sc scope, v uint64) bool {
	s := t.get(sc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.value == v {
		return true
	}
	for _, p := range s.recent {
		if p.value == v && time.Now().Before(p.until) {
			return true
		}
	}
	return false
}

// all returns the non-zero totals of the individual scopes.
func (t *totals) all() map[scope]uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[scope]uint64{}
	for sc, s := range t.m {
		s.mu.Lock()
		if s.value != 0 && sc != scopeAll {
			out[sc] = s.value
		}
		s.mu.Unlock()
	}
	return out
}
