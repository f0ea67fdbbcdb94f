package pace

import (
	"sync"
	"sync/atomic"
	"time"
)

// Link is what one VM sends, over all its connections. Its methods are safe for concurrent use. The function fields may
// be set before the first use; nil: not called.
type Link struct {
	// Sent is called with the bytes for which permission was given and the time that they waited.
	Sent func(c Class, bytes int, waited time.Duration)
	// Dropped is called with the bytes of a large answer that are not sent, because its call has ended.
	Dropped func(bytes int)

	now    func() time.Time
	active atomic.Bool

	mu     sync.Mutex
	order  *order
	timer  *time.Timer
	queued backlog
}

// New returns a Link that sends rate bytes a second. It is inactive until SetActive is called. If now is nil, time.Now is
// used.
func New(rate float64, now func() time.Time) *Link {
	if now == nil {
		now = time.Now
	}
	l := &Link{now: now, order: newOrder(rate, now()), queued: backlog{}}
	l.timer = time.AfterFunc(time.Hour, l.dispatch)
	l.timer.Stop()
	return l
}

// Active reports whether writers have to ask. False for a nil Link.
func (l *Link) Active() bool { return l != nil && l.active.Load() }

// SetActive has writers ask from now on, or no longer.
func (l *Link) SetActive(on bool) { l.active.Store(on) }

// Request asks for permission to send, and reports whether it is given at once. Otherwise t.Ready receives a value later,
// unless Withdraw is called before.
func (l *Link) Request(t *Ticket, a Ask) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	t.ask = a
	l.order.add(t, now)
	for {
		x := l.order.next(now)
		if x == nil {
			break
		}
		l.sent(x, now)
		if x == t {
			return true // whoever comes after t waited before it was called
		}
		x.ready <- struct{}{}
	}
	l.schedule(now)
	return false
}

// Withdraw takes a request back. It reports false if permission was given before.
func (l *Link) Withdraw(t *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.order.remove(t) {
		select {
		case <-t.ready:
		default:
		}
		return false
	}
	l.schedule(l.now())
	return true
}

// Return takes back permission for n bytes of a that are not sent; negative: further bytes are.
func (l *Link) Return(a Ask, n int) {
	if n == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.order.refill(now)
	l.order.spend(&a, -float64(n), now)
	l.schedule(now)
}

// dispatch gives permission to all that may send now.
func (l *Link) dispatch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for t := l.order.next(now); t != nil; t = l.order.next(now) {
		l.sent(t, now)
		t.ready <- struct{}{}
	}
	l.schedule(now)
}

func (l *Link) sent(t *Ticket, now time.Time) {
	if l.Sent != nil {
		l.Sent(t.ask.Class, t.ask.Bytes, max(0, now.Sub(t.since)))
	}
}

// schedule sets the timer for the next permission. The caller holds l.mu.
func (l *Link) schedule(now time.Time) {
	if d, ok := l.order.wait(now); ok {
		l.timer.Reset(d)
	}
}

// Queue records that n more bytes of large answers of a rank wait at connections, or are expected to; negative: fewer. Those
// that wait for a Path are recorded there.
func (l *Link) Queue(rank, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued.add(rank, n)
}

// Drop records that n bytes of a large answer are not sent.
func (l *Link) Drop(n int) {
	if l.Dropped != nil {
		l.Dropped(n)
	}
}

// Backlog returns the bytes of large answers that wait, or are expected to, and go before another one of the rank.
func (l *Link) Backlog(rank int) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queued.until(rank)
}

// ShortestTime returns the time in which n bytes leave if nothing else does.
func (l *Link) ShortestTime(n int) time.Duration {
	return time.Duration(float64(n) / l.order.rate * float64(time.Second))
}

// NearRate returns the rate in bytes a second that all other traffic, with large answers to other regions, leaves to large
// answers at present.
func (l *Link) NearRate() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.order.nearRate(l.now()))
}

// LargeRate returns the rate in bytes a second that other traffic leaves to large answers at present.
func (l *Link) LargeRate() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.order.largeRate(l.now()))
}
