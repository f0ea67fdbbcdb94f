package delay

import (
	"sync/atomic"
	"time"
)

// AtomicTime is a time that goroutines set and read without a lock. Unlike a number of Unix nanoseconds it keeps the reading
// of the monotonic clock, so that elapsed times stay right when the time of day is set. The zero value is the zero time.
type AtomicTime struct {
	t atomic.Pointer[time.Time]
}

// Store sets the time.
func (a *AtomicTime) Store(t time.Time) { a.t.Store(&t) }

// Load returns the time that was stored last.
func (a *AtomicTime) Load() time.Time {
	if t := a.t.Load(); t != nil {
		return *t
	}
	return time.Time{}
}
