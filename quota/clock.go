package quota

import "time"

// Clock reads the monotonic and the wall clock; tests replace it. The larger elapsed time
// counts for leases: the monotonic clock of a paused VM may stop, and the wall clock may be
// set back.
type Clock struct {
	Mono func() time.Duration
	Wall func() time.Time
}

// SystemClock returns a Clock that reads the clocks of the system.
func SystemClock() Clock {
	start := time.Now()
	return Clock{
		Mono: func() time.Duration { return time.Since(start) },
		Wall: func() time.Time { return time.Now().Round(0) },
	}
}

// Stamp is a point in time on both clocks.
type Stamp struct {
	mono time.Duration
	wall time.Time
}

// Stamp returns the current time on both clocks.
func (c Clock) Stamp() Stamp {
	return Stamp{mono: c.Mono(), wall: c.Wall()}
}

// Since returns the time elapsed since s on the monotonic or the wall clock, whichever is
// larger.
func (c Clock) Since(s Stamp) time.Duration {
	return max(c.Mono()-s.mono, c.Wall().Sub(s.wall))
}
