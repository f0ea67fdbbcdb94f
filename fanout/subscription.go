package fanout

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// subscription is one subscriber of a Forwarder. It sends one update at a time, so that a slow
// subscriber gets one merged delta instead of a queue.
type subscription struct {
	forwarder *Forwarder
	conn      *wire.Conn
	wakeup    chan struct{}

	mu          sync.Mutex
	confirmed   HeldState
	confirmedAt time.Time // when confirmed was last set
}

func newSubscription(forwarder *Forwarder, c *wire.Conn, h HeldState) *subscription {
	s := &subscription{forwarder: forwarder, conn: c, wakeup: make(chan struct{}, 1), confirmed: h, confirmedAt: time.Now()}
	s.wake()
	return s
}

func (s *subscription) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

func (s *subscription) setConfirmed(h HeldState) {
	s.mu.Lock()
	s.confirmed, s.confirmedAt = h, time.Now()
	s.mu.Unlock()
	s.wake()
}

// handleLag handles a heartbeat that reports a Version below the held one.
func (s *subscription) handleLag(v ident.Version) {
	s.mu.Lock()
	overdue := time.Since(s.confirmedAt) > confirmTimeout
	if overdue && s.confirmed.Version > v {
		// The subscriber reports less than it confirmed earlier: send a snapshot.
		s.confirmed = HeldState{Version: v}
	}
	s.mu.Unlock()
	if overdue {
		s.wake()
	}
}

func (s *subscription) confirmedState() HeldState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// run sends updates until the connection ends.
func (s *subscription) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer s.forwarder.remove(s.conn)
	go func() {
		select {
		case <-s.conn.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
		}
		if !s.bringUpToDate(ctx) {
			return
		}
	}
}

// bringUpToDate sends the newest state to the subscriber. It returns false if the subscription
// has to end. A subscriber that dropped a delta replies with the state it holds; the second
// attempt then sends a snapshot.
func (s *subscription) bringUpToDate(ctx context.Context) bool {
	for attempt := 0; attempt < 2; attempt++ {
		h := s.confirmedState()
		cur := s.forwarder.holder.Held()
		if h.Version > cur.Version() || (h.Version == cur.Version() && h.Hash == cur.Hash()) {
			return true
		}
		if attempt > 0 {
			h.Hash = 0 // matches no base, so a snapshot is sent
		}
		got, err := s.forwarder.send(ctx, s.conn, h)
		if err != nil {
			_ = s.conn.Close()
			return false
		}
		s.mu.Lock()
		s.confirmed, s.confirmedAt = got, time.Now()
		s.mu.Unlock()
		if got.Version >= cur.Version() {
			attempt = -1 // delivered; the loop ends unless there is a newer state
		}
	}
	return true
}
