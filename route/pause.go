package route

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// pause returns the next pause: base doubled for each consecutive one up to base*most.
// The upper half is random, so that daemons do not all return at the same time.
func (n *node) pause(base time.Duration, most int, random func() uint64) time.Duration {
	d := base * time.Duration(min(1<<min(n.pauses, 10), most))
	n.pauses++
	return d/2 + time.Duration(random()%uint64(d/2+1))
}

// refused records a refusal of the server.
func (p *pool) refused(n *node, c call, now time.Duration, o Outcome, random func() uint64) {
	switch o.Refused {
	case refuse.Draining, refuse.Starting:
		n.pausedUntil = now + time.Second // until the announcement arrives
	case refuse.Shedding:
		n.pausedUntil = now + n.pause(p.cfg.RefusalPause, 32, random)
	case refuse.QueueFull, refuse.DeadlineTooShort, refuse.DeadlinePassed, refuse.CapReached, refuse.CapUnavailable:
		// The queue, the deadline and the cap concern this member only: others are not paused.
		n.freeUnits[memberBucket(c.member, c.class)] = 0
		n.memberUntil[memberBucket(c.member, c.class)] = now + n.pause(p.cfg.RefusalPause, 4, random)
	case refuse.Cancelled:
		// The call took at least this long.
		if us := float64(o.Latency.Microseconds()) - n.rtt; us > n.gauges[c.class].ewma {
			p.observe(&n.gauges[c.class], c.class, now, us)
			n.observedAt = now
		}
	}
}
