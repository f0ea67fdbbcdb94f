package event

import (
	"sync"
	"time"
)

// limited are the events of which at most one is written per second, since clients outside the limits can cause any number of
// them. Lines about calls are not among them: an operator looks up each call.
var limited = map[ID]bool{
	CallerCut: true, MemoryFull: true, NoticeUnreadable: true, LinkNotAccepted: true, HeartbeatInvalid: true, ConfigInvalid: true,
}

// LimitInterval is the time between two lines of one kind that a Limiter allows.
const LimitInterval = time.Second

// Limiter limits how often lines of each kind are written. The kinds are few, and not chosen by clients. It is safe for
// concurrent use.
type Limiter[K comparable] struct {
	now func() time.Time

	mu    sync.Mutex
	kinds map[K]*limitedKind
}

// limitedKind is the state of one kind.
type limitedKind struct {
	written    time.Time
	suppressed int // since then
}

// NewLimiter returns a Limiter that has allowed nothing yet.
func NewLimiter[K comparable]() *Limiter[K] {
	return &Limiter[K]{now: time.Now, kinds: map[K]*limitedKind{}}
}

// Allow reports whether a line of kind may be written, and how many were not since the last one.
func (l *Limiter[K]) Allow(kind K) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	k := l.kinds[kind]
	if k == nil {
		l.kinds[kind] = &limitedKind{written: now}
		return 0, true
	}
	if now.Sub(k.written) < LimitInterval {
		k.suppressed++
		return 0, false
	}
	suppressed = k.suppressed
	k.written, k.suppressed = now, 0
	return suppressed, true
}
