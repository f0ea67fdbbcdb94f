package emul

import "time"

// Outage is a kind of outage of a Store.
type Outage int

// The kinds of outages.
const (
	NoOutage  Outage = iota
	Rejecting        // calls fail at once, without effect
	Silent           // calls get no answer, without effect
)

// Answer tells what happens to the answer to a write.
type Answer int

// What can happen to an answer.
const (
	Answered Answer = iota
	Broken          // the write takes effect, then the connection breaks
	Missing         // the write takes effect, no answer is sent
	Late            // the write takes effect after a delay, even if the caller has given up
)

// fault is a fault to inject into one write.
type fault struct {
	key    string // empty: any
	answer Answer
	delay  time.Duration // used with Late
}

// SetOutage starts an outage or, with NoOutage, ends it. A Rejecting outage breaks
// waiting watches at its start, a Silent one at its end.
func (s *Store) SetOutage(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = o
	close(s.outageChanged)
	s.outageChanged = make(chan struct{})
}

// SetDelay delays each later call by d before it takes effect.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// FailWrites applies answer to the next n writes of key, or of any key if it is empty. With
// Late they take effect after d. The key of Renew and Revoke is the lease id, that of Grant is
// empty.
func (s *Store) FailWrites(key string, n int, answer Answer, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		s.faults = append(s.faults, fault{key, answer, d})
	}
}

// BeforeWrite calls f before each write takes effect, with the name of the call and its key.
// The function may use the Driver. Nil removes it.
func (s *Store) BeforeWrite(f func(call, key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeWrite = f
}

// AdvanceClock moves the store's clock forward relative to the callers' clocks and expires leases.
func (s *Store) AdvanceClock(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offset += d
	s.expireLeases()
}

// Compact discards the history, so that watches cannot start at older revisions.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = nil
	s.compacted = s.revision
}
