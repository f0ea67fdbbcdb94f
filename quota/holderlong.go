package quota

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

func (h *Holder) acquireLong(ctx context.Context, req Request, left time.Duration) (func(), error) {
	if h.takeLong(req.Member, left) {
		return sync.OnceFunc(func() {
			s := &h.shards[shardOf(req.Member)]
			s.mu.Lock()
			defer s.mu.Unlock()
			a := s.admission(req.Member)
			a.long--
			a.lastEnd = h.d.Clock.Mono()
			h.serveQueue(s, a, req.Member)
		}), nil
	}
	return h.acquirePin(ctx, req, left)
}

// takeLong admits a long call on the base share, if possible.
func (h *Holder) takeLong(member ident.MemberID, left time.Duration) bool {
	s := &h.shards[shardOf(member)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.leaving.Load() || h.untilLongCallsEnd() > 0 {
		return false
	}
	a := s.admission(member)
	base := h.baseShare(a, member, left)
	if len(a.queue) > 0 || a.long >= maxLongCalls(base) || a.short+a.long >= base {
		return false
	}
	a.long++
	return true
}

// acquirePin asks the keeper for a pin and waits until it is confirmed.
func (h *Holder) acquirePin(ctx context.Context, req Request, left time.Duration) (func(), error) {
	h.mu.Lock()
	if len(h.pins) >= maxPins {
		h.mu.Unlock()
		return nil, h.refuse(refuse.CapReached, "pins are at their limit")
	}
	h.nextPin++
	id := h.nextPin
	p := &pin{member: req.Member, deadline: req.Deadline, ready: make(chan struct{})}
	h.pins[id] = p
	h.mu.Unlock()
	h.requestExchange()

	timer := time.NewTimer(min(maxPinWait, left/2))
	defer timer.Stop()
	select {
	case <-p.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	release := sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.pins, id)
	})
	h.mu.Lock()
	ok := p.confirmed && ctx.Err() == nil && !h.leaving.Load()
	h.mu.Unlock()
	if !ok {
		release()
		return nil, h.refuse(refuse.CapReached, "no pin for the long call")
	}
	return release, nil
}
