package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

func (h *Holder) acquireShort(ctx context.Context, req Request, left time.Duration) (func(), error) {
	s := &h.shards[shardOf(req.Member)]
	s.mu.Lock()
	a := s.admission(req.Member)
	if len(a.queue) == 0 && h.admits(s, a, req.Member, left) {
		h.countShort(a, req.Member)
		s.mu.Unlock()
		return h.releaseShort(req.Member), nil
	}
	a.unmet.add(h.d.Clock.Mono())
	unmet, reported := a.unmet.peak(), a.reportedUnmet
	if text := h.noWaitReason(a); text != "" {
		s.mu.Unlock()
		h.requestExchangeIfGrown(unmet, reported)
		return nil, h.refuse(refuse.CapReached, text)
	}
	w := &waiter{deadline: req.Deadline, ready: make(chan struct{})}
	a.queue = append(a.queue, w)
	s.mu.Unlock()
	h.requestExchangeIfGrown(unmet, reported)

	timer := time.NewTimer(min(maxQueueWait, left/2))
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	if h.dequeue(s, req.Member, w) {
		return nil, h.refuse(refuse.CapReached, "no unit became free")
	}
	release := h.releaseShort(req.Member)
	if ctx.Err() != nil || h.leaving.Load() {
		release()
		return nil, h.refuse(refuse.CapReached, "caller gave up")
	}
	return release, nil
}

// noWaitReason returns why a call is refused without waiting; empty if a unit may become free
// within maxQueueWait. The caller holds the lock of the shard.
func (h *Holder) noWaitReason(a *admission) string {
	switch {
	case len(a.queue) >= maxQueuedCalls:
		return "calls waiting for a unit are at their limit"
	case a.reportedUnmet > 0 && (a.lastEnd == 0 || h.d.Clock.Mono()-a.lastEnd >= callEndWindow):
		return "keeper has no unit and no call has just ended"
	}
	return ""
}

// dequeue removes w from the queue. It reports false if w was granted a unit.
func (h *Holder) dequeue(s *shard, member ident.MemberID, w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.admission(member)
	a.queue = slices.DeleteFunc(a.queue, func(q *waiter) bool { return q == w })
	return !w.granted
}

// serveQueue grants units to waiting calls in order of arrival. The caller holds the lock of
// the shard.
func (h *Holder) serveQueue(s *shard, a *admission, member ident.MemberID) {
	for len(a.queue) > 0 && h.unavailableReason(time.Nanosecond) == "" {
		w := a.queue[0]
		left := w.deadline.Sub(h.d.Clock.Wall())
		if left > 0 && !h.admits(s, a, member, left) {
			return
		}
		a.queue = a.queue[1:]
		if left > 0 {
			h.countShort(a, member)
			w.granted = true
			close(w.ready)
		}
	}
}

func (h *Holder) releaseShort(member ident.MemberID) func() {
	return sync.OnceFunc(func() {
		s := &h.shards[shardOf(member)]
		s.mu.Lock()
		defer s.mu.Unlock()
		a := s.admission(member)
		a.short--
		a.lastEnd = h.d.Clock.Mono()
		h.serveQueue(s, a, member)
	})
}
