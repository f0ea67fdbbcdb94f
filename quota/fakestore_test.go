package quota

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"
)

// fakeStore is an in-memory store of keys and leases in virtual time.
type fakeStore struct {
	mu            sync.Mutex
	down          bool
	lostResponses int // number of writes that take effect although their responses are lost
	revision      int64
	values        map[string]Value
	leases        map[string]LeaseID
	expiry        map[LeaseID]time.Time
	calls         int
	era           uint64 // rises with each restore
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: map[string]Value{}, leases: map[string]LeaseID{}, expiry: map[LeaseID]time.Time{}, era: 1}
}

// beginCall locks the store, unless it is unreachable, and deletes expired keys.
func (s *fakeStore) beginCall(n *node) error {
	n.waitWhilePaused()
	time.Sleep(time.Duration(1+19*n.region) * time.Millisecond)
	n.waitWhilePaused()
	s.mu.Lock()
	s.calls++
	if s.down || n.partitioned.Load() || n.island.Load() {
		s.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		return errDown
	}
	n.era.Store(s.era)
	for key, id := range s.leases {
		if !time.Now().Before(s.expiry[id]) {
			delete(s.values, key)
			delete(s.leases, key)
		}
	}
	return nil
}

func (s *fakeStore) finishWrite() error {
	defer s.mu.Unlock()
	if s.lostResponses > 0 {
		s.lostResponses--
		return errDown
	}
	return nil
}

// driver returns the Driver of a daemon. A partitioned daemon does not reach the store.
func (s *fakeStore) driver(n *node) Driver {
	return Driver{
		Era: n.era.Load,
		Get: func(_ context.Context, key string) (Value, error) {
			if err := s.beginCall(n); err != nil {
				return Value{}, err
			}
			defer s.mu.Unlock()
			return s.values[key], nil
		},
		Swap: func(_ context.Context, key string, revision int64, data []byte, lease LeaseID) (Value, error) {
			if err := s.beginCall(n); err != nil {
				return Value{}, err
			}
			if s.values[key].Revision != revision || lease != 0 && !time.Now().Before(s.expiry[lease]) {
				s.mu.Unlock()
				return Value{}, errors.New("conflict")
			}
			s.revision++
			v := Value{Data: data, Revision: s.revision}
			s.values[key] = v
			if lease != 0 {
				s.leases[key] = lease
			}
			return v, s.finishWrite()
		},
		Grant: func(_ context.Context, ttl time.Duration) (LeaseID, error) {
			if err := s.beginCall(n); err != nil {
				return 0, err
			}
			defer s.mu.Unlock()
			s.revision++
			s.expiry[LeaseID(s.revision)] = time.Now().Add(ttl)
			return LeaseID(s.revision), nil
		},
		Renew: func(_ context.Context, id LeaseID) error {
			if err := s.beginCall(n); err != nil {
				return err
			}
			defer s.mu.Unlock()
			if !time.Now().Before(s.expiry[id]) {
				return errors.New("lease lost")
			}
			s.expiry[id] = time.Now().Add(KeeperLeaseTTL)
			return nil
		},
		Revoke: func(_ context.Context, id LeaseID) error {
			if err := s.beginCall(n); err != nil {
				return err
			}
			defer s.mu.Unlock()
			delete(s.expiry, id)
			return nil
		},
	}
}

// storeCopy is the state of a fakeStore at one time.
type storeCopy struct {
	at       time.Time
	revision int64
	values   map[string]Value
	leases   map[string]LeaseID
	expiry   map[LeaseID]time.Time
}

func (s *fakeStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{time.Now(), s.revision, maps.Clone(s.values), maps.Clone(s.leases), maps.Clone(s.expiry)}
}

// restore brings back the state of c. Revisions and lease ids are given out again. Leases did not run since the copy.
func (s *fakeStore) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.values, s.leases, s.expiry = c.revision, maps.Clone(c.values), maps.Clone(c.leases), maps.Clone(c.expiry)
	for id, end := range s.expiry {
		s.expiry[id] = end.Add(time.Since(c.at))
	}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// loseResponses makes the responses of the next n writes get lost.
func (s *fakeStore) loseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostResponses = n
}
