package admit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// SlotRequest describes a request without a member that asks for a slot of a backend server.
type SlotRequest struct {
	Route    ident.RouteID
	Priority int       // zero is the highest
	Goal     time.Time // latest time at which the answer has its full value
	Deadline time.Time // time after which the answer has no value
	// MaxWait is the longest wait for a slot; after it the caller tries another server. One beyond Goal means that no server
	// can answer the request by its goal, so that it waits for an answer after it.
	MaxWait time.Duration
}

// Busy is the refusal of a request that would wait too long.
type Busy struct {
	*refuse.Refusal
	Wait         time.Duration // until a request like it is likely to get a slot at once
	ExpectedWait time.Duration // expected wait of the refused request
}

// Unwrap returns the refusal.
func (b *Busy) Unwrap() error { return b.Refusal }

// slotWaiter is a request in the queue of Slots.
type slotWaiter struct {
	ask    SlotRequest
	cost   time.Duration // expected service time
	result chan error    // nil: has a slot
}

// Slots admits requests without a member to one backend server: as many at once as it has slots. Waiting
// requests are ordered by priority, then by due time: the goal, or the deadline if the goal can no longer be
// reached. If late requests were still due at their goal, they would make all requests behind them late too.
// Its methods are safe for concurrent use.
type Slots struct {
	now func() time.Time

	mu           sync.Mutex
	limit        int
	strict       bool            // see SetStrict
	closed       *refuse.Refusal // nil: open
	running      int
	queue        []*slotWaiter
	times        routeServiceTimes
	lastRejected map[int]time.Time // by priority: when a request that could have reached its goal was last rejected
}

// overloadSpan is how long the server counts as overloaded after the last rejected request. It is long enough
// that a few rejections a second keep the server in that state.
const overloadSpan = 300 * time.Millisecond

// NewSlots returns Slots that are closed until Open is called. If now is nil, time.Now is used.
func NewSlots(now func() time.Time) *Slots {
	if now == nil {
		now = time.Now
	}
	return &Slots{
		now: now, closed: refuse.NotRun(refuse.Starting, "no backend server has announced itself"),
		times: newRouteServiceTimes(), lastRejected: map[int]time.Time{},
	}
}

// Open sets the number of slots and admits requests.
func (s *Slots) Open(slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.closed = max(1, slots), nil
	s.dispatch()
}

// SetStrict has requests refused at once unless their answers are likely to reach their goal, or they wait for a late one. Without it
// a request may wait for as long as the mean service time leaves: under overload all slots are in use either way, and half
// of the answers are late.
func (s *Slots) SetStrict(strict bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strict = strict
}

// Close refuses new and waiting requests with r. Running requests continue.
func (s *Slots) Close(r *refuse.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = r
	for _, w := range s.queue {
		w.result <- r
	}
	s.queue = nil
}

// Status is a snapshot of the state of Slots.
type Status struct {
	Running, Waiting, Slots int
	Mean                    time.Duration // service time
	DrainTime               time.Duration // expected time until a slot is free and the queue is empty
	Closed                  bool
}

// Status returns the current state.
func (s *Slots) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := Status{
		Running: s.running, Waiting: len(s.queue), Slots: s.limit, Mean: s.times.all.expected(), Closed: s.closed != nil,
	}
	if s.limit > 0 && s.running >= s.limit {
		l.DrainTime = s.drainTime()
	}
	return l
}

// Enter waits for a slot. The error is a *Busy if the wait would be too long, else a *refuse.Refusal;
// the request has not run. The returned function releases the slot; its argument is the time that the
// backend server took, or zero if that time does not reflect the work.
func (s *Slots) Enter(ctx context.Context, a SlotRequest) (func(time.Duration), error) {
	s.mu.Lock()
	w, err := s.admit(a)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if w.result != nil {
		if err := s.await(ctx, w); err != nil {
			return nil, err
		}
	}
	var once sync.Once
	return func(d time.Duration) { once.Do(func() { s.release(a.Route, d) }) }, nil
}

func (s *Slots) admit(a SlotRequest) (*slotWaiter, error) {
	if s.closed != nil {
		return nil, s.closed
	}
	now := s.now()
	w := &slotWaiter{ask: a, cost: s.times.expect(a.Route)}
	if s.running < s.limit && len(s.queue) == 0 {
		s.running++
		return w, nil
	}
	wait := s.expectedWait(w, now)
	inTime := !now.Add(w.cost).After(a.Goal)
	likely := w.cost // the service time that has to fit before the goal
	if s.strict {
		likely = s.times.tail(a.Route)
	}
	if left := a.Goal.Sub(now); s.strict && inTime && a.MaxWait <= left {
		a.MaxWait = min(a.MaxWait, max(s.minWait(), left-likely))
		w.ask.MaxWait = a.MaxWait
	}
	late := now.Add(wait + likely).After(a.Goal)
	// While requests that could reach their goal are rejected, a late one would wait behind others that arrive
	// after it, and be refused in the end.
	overloaded := late && s.overloaded(a.Priority, now)
	if wait > a.MaxWait || overloaded || now.Add(wait+w.cost).After(a.Deadline) {
		if inTime && a.MaxWait > 0 {
			s.lastRejected[a.Priority] = now
		}
		return nil, &Busy{
			Refusal: refuse.NotRun(refuse.QueueFull, fmt.Sprintf("%d waiting, expected wait %s", len(s.queue), wait.Round(time.Millisecond))),
			Wait:    s.drainTime(), ExpectedWait: wait,
		}
	}
	w.result = make(chan error, 1)
	s.queue = append(s.queue, w)
	return w, nil
}

// minWait returns a wait with which a strict queue still keeps all slots in use: some requests wait for each that ends.
func (s *Slots) minWait() time.Duration { return 2 * s.times.all.expected() / time.Duration(s.limit) }

// overloaded reports whether requests of the priority or a higher one were rejected within overloadSpan.
func (s *Slots) overloaded(priority int, now time.Time) bool {
	for p, at := range s.lastRejected {
		if p <= priority && now.Sub(at) < overloadSpan {
			return true
		}
	}
	return false
}

// expectedWait returns the expected time until w gets a slot.
func (s *Slots) expectedWait(w *slotWaiter, now time.Time) time.Duration {
	ahead := s.times.all.expected() // running requests are half done on average, and one of them has to end
	for _, x := range s.queue {
		if x.before(w, now) {
			ahead += x.cost
		}
	}
	return ahead / time.Duration(s.limit)
}

// drainTime returns the expected time until the queue is empty.
func (s *Slots) drainTime() time.Duration {
	sum := s.times.all.expected()
	for _, x := range s.queue {
		sum += x.cost
	}
	return sum / time.Duration(s.limit)
}

// before reports whether w gets a slot before o.
func (w *slotWaiter) before(o *slotWaiter, now time.Time) bool {
	if w.ask.Priority != o.ask.Priority {
		return w.ask.Priority < o.ask.Priority
	}
	return w.due(now).Before(o.due(now))
}

// due returns the time by which the request should have ended.
func (w *slotWaiter) due(now time.Time) time.Time {
	if now.Add(w.cost).After(w.ask.Goal) {
		return w.ask.Deadline
	}
	return w.ask.Goal
}

// latestStart returns the latest time at which the request can start and still end before its deadline.
func (w *slotWaiter) latestStart() time.Time { return w.ask.Deadline.Add(-w.cost) }

// await waits for a slot until the caller cancels, its longest wait ends or the request can no longer end before
// its deadline, so that the caller learns at once that the request has not run.
func (s *Slots) await(ctx context.Context, w *slotWaiter) error {
	t := time.NewTimer(min(w.ask.MaxWait, w.latestStart().Sub(s.now())))
	defer t.Stop()
	left := false
	select {
	case err := <-w.result:
		return err
	case <-t.C:
	case <-ctx.Done():
		left = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var refusal error = &Busy{
		Refusal: refuse.NotRun(refuse.QueueFull, fmt.Sprintf("waited %s, %d waiting", w.ask.MaxWait, len(s.queue))),
		Wait:    s.drainTime(),
	}
	if left {
		refusal = contextRefusal(ctx.Err())
	}
	if !s.remove(w) {
		if err := <-w.result; err == nil {
			s.running--
			s.dispatch()
		}
	}
	return refusal
}

func (s *Slots) remove(w *slotWaiter) bool {
	for i, x := range s.queue {
		if x == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (s *Slots) release(route ident.RouteID, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d > 0 {
		s.times.add(route, d)
	}
	s.running--
	s.dispatch()
}

// dispatch gives free slots to waiting requests.
func (s *Slots) dispatch() {
	now := s.now()
	for s.running < s.limit && len(s.queue) > 0 {
		best := s.queue[0]
		for _, w := range s.queue[1:] {
			if w.before(best, now) {
				best = w
			}
		}
		s.remove(best)
		s.running++
		best.result <- nil
	}
}

// Restart drops the service times, which were observed at a previous process of the backend server.
func (s *Slots) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = newRouteServiceTimes()
}
