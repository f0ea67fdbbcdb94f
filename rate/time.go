package rate

import "time"

// Time is a reading of the monotonic and the wall clock of a daemon.
type Time struct {
	Mono time.Duration
	Wall time.Time
}

// fastClock advances by the larger of what the two clocks advance. The monotonic clock of a paused VM may stop, and
// the wall clock may be set back, so what must end early is timed by it. What must not end early is timed by the
// monotonic clock alone, which never runs ahead.
type fastClock struct {
	last    Time
	elapsed time.Duration
}

// advance returns the time elapsed on the clock until now.
func (c *fastClock) advance(now Time) time.Duration {
	if c.last.Wall.IsZero() {
		c.last = now
	}
	c.elapsed += max(0, now.Mono-c.last.Mono, now.Wall.Sub(c.last.Wall))
	c.last = now
	return c.elapsed
}
