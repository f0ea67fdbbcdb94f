package route

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/peers"
)

// level ranks the servers of a service; a server is used only if no server has a lower level.
type level int

const (
	levelNear        level = iota // same data centre
	levelRegion                   // same region
	levelBusy                     // same region, with all slots in use or a latency above that of the other servers
	levelRemote                   // another region, across the link that is paid by volume
	levelQueued                   // same region, with a queue at the daemon of the server
	levelFull                     // calls of this daemon exceed the slots, or the server is stalled or on probation
	levelPaused                   // paused after a refusal or failures
	levelUnreachable              // refuses connections
	levelNone                     // not ready, or suspect while another server is ready
)

// busyFactor is the multiple of the median latency above which traffic moves to another data centre of the region.
const busyFactor = 2

func (p *pool) level(n *node, class int, member uint64, now time.Duration) level {
	switch {
	case n.server.State != peers.Ready || n.suspect:
		return levelNone
	case now < n.unreachableUntil:
		return levelUnreachable
	case now < n.pausedUntil || now < n.memberUntil[memberBucket(member, class)]:
		if n.dist == 2 && p.regionReady {
			return levelNone // the paid link is not used for a call that is likely to be refused
		}
		return levelPaused
	case n.probation, p.slowed(n, class, now):
		return levelFull
	}
	overcommit := maxOvercommit
	if n.dist == 2 || n.warmFrom >= 0 {
		overcommit = 0
	}
	free := p.freeSlots(n, class, now)
	queued := n.queue(now) > maxQueueRatio*float64(n.server.Slots)
	switch {
	case free <= -overcommit || queued && n.dist == 2:
		return levelFull
	case queued:
		return levelQueued
	case n.dist == 2:
		return levelRemote
	case free <= 0:
		return levelBusy
	}
	if median := p.median[class]; median > 0 && n.gauges[class].expect(now, n.rtt, p.median[class]) > busyFactor*median+float64(p.cfg.SlowFloor.Microseconds()) {
		return levelBusy
	}
	if n.dist == 0 {
		return levelNear
	}
	return levelRegion
}

// maxQueueRatio is the number of calls waiting at a server of the region, as a share of its slots,
// above which calls cross the paid link. With a queue as long as the slots, the wait is about the
// mean service time; with 0.5, a fifth more calls crossed the link at the same tail latency.
const maxQueueRatio = 1.0

// maxQueueAge is the age at which an observed queue is ignored, by distance. Within a region it is the
// time in which a queue as long as the slots is served. Across regions it is longer: each new
// observation costs a call on the paid link, which gains nothing if all servers have queues.
var maxQueueAge = [3]time.Duration{20 * time.Millisecond, 20 * time.Millisecond, 250 * time.Millisecond}

// slowed reports whether the calls in flight at a server show that it is slow. Ended calls do not
// count: one long call among them would keep the server out of use until its mean has decayed. The
// age of a single call does not count either: one long call in a class of short ones would make
// others cross the link.
func (p *pool) slowed(n *node, class int, now time.Duration) bool {
	return n.gauges[class].stalled(now, n.rtt, p.median[class])
}

// longShare is the share of the slots that long work may hold at the server's daemon.
const longShare = 2.0 / 3

// maxOvercommit is the number of calls in flight beyond the slots above which calls cross the paid
// link. The wait for one or two calls to end is usually shorter than the round trip.
const maxOvercommit = 1.5

// freeSlots returns the slots that the class may hold less its calls in flight.
// Long calls beyond their share wait at the server's daemon and take no slots from short ones.
// Load reports are not used here: they are outdated and would move traffic to the paid link.
func (p *pool) freeSlots(n *node, class int, now time.Duration) float64 {
	slots := float64(max(n.server.Slots, 1))
	if n.warmFrom >= 0 {
		slots = max(1, slots*n.ramp(now, p.cfg.WarmUp))
	}
	long := float64(n.gauges[1].inflight)
	if class == 1 {
		return max(1, longShare*slots) - long
	}
	return slots - min(long, longShare*slots) - float64(n.gauges[0].inflight)
}
