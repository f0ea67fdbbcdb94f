package emul

import (
	"maps"
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// Copy is the state of a Store at one time, from which it can be restored.
type Copy struct {
	revision  int64
	keys      map[string]entry
	log       []change
	compacted int64
	leases    map[store.LeaseID]leaseCopy
	lastLease store.LeaseID
}

// leaseCopy is a lease in a Copy. left is the time until it ends.
type leaseCopy struct {
	ttl, left time.Duration
	keys      map[string]struct{}
}

// Copy returns a copy of the current state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	c := &Copy{
		revision: s.revision, keys: maps.Clone(s.keys), log: slices.Clone(s.log), compacted: s.compacted,
		leases: map[store.LeaseID]leaseCopy{}, lastLease: s.lastLease,
	}
	for id, l := range s.leases {
		c.leases[id] = leaseCopy{ttl: l.ttl, left: l.end.Sub(s.now()), keys: maps.Clone(l.keys)}
	}
	return c
}

// Restore replaces the state by that of c, as if the changes since then had never been made: their revisions and
// lease ids are given out again. Watches that wait are broken. Leases did not run between copy and restore.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.revision, s.compacted, s.lastLease = c.revision, c.compacted, c.lastLease
	s.keys, s.log = maps.Clone(c.keys), slices.Clone(c.log)
	s.leases = map[store.LeaseID]*lease{}
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, end: s.now().Add(l.left), keys: maps.Clone(l.keys), timer: time.AfterFunc(l.left, s.expire)}
	}
	s.era++
	for key, ch := range s.waiters {
		close(ch)
		delete(s.waiters, key)
	}
}

// Era returns the present era; it is 1 until the first Restore.
func (s *Store) Era() store.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
