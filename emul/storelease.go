package emul

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// grant creates a lease. The caller holds mu.
func (s *Store) grant(ttl time.Duration) store.LeaseID {
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{
		ttl:   ttl,
		end:   s.now().Add(ttl),
		keys:  map[string]struct{}{},
		timer: time.AfterFunc(ttl, s.expire),
	}
	return id
}

// renew extends a lease. The caller holds mu.
func (s *Store) renew(id store.LeaseID) error {
	l, ok := s.leases[id]
	if !ok {
		return fmt.Errorf("%w: lease %s", store.ErrLeaseLost, id)
	}
	l.end = s.now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

// revoke ends a lease and deletes its keys. The caller holds mu.
func (s *Store) revoke(id store.LeaseID) error {
	l, ok := s.leases[id]
	if !ok {
		return fmt.Errorf("%w: lease %s", store.ErrLeaseLost, id)
	}
	l.timer.Stop()
	for _, k := range slices.Sorted(maps.Keys(l.keys)) {
		s.remove(k)
	}
	delete(s.leases, id)
	return nil
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
}

// expireLeases revokes the leases that have expired. The caller holds mu.
func (s *Store) expireLeases() {
	now := s.now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].end) {
			_ = s.revoke(id)
		}
	}
}
