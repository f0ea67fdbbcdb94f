package mesh

import (
	"context"
	"sync"
)

// storedSeq is the latest state of the daemon, by its sequence number, that its entry in the store has held.
type storedSeq struct {
	mu      sync.Mutex
	seq     int64
	changed chan struct{} // closed and replaced when seq changes
}

func newStoredSeq() *storedSeq { return &storedSeq{seq: -1, changed: make(chan struct{})} }

// set records that the entry holds the state of seq.
func (s *storedSeq) set(seq int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq <= s.seq {
		return
	}
	s.seq = seq
	close(s.changed)
	s.changed = make(chan struct{})
}

// reached reports whether the entry has held the state of seq or a later one.
func (s *storedSeq) reached(seq int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seq >= seq
}

// wait waits until the entry has held the state of seq or a later one, and reports false if ctx is done before.
func (s *storedSeq) wait(ctx context.Context, seq int64) bool {
	for {
		s.mu.Lock()
		stored, changed := s.seq >= seq, s.changed
		s.mu.Unlock()
		if stored {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
