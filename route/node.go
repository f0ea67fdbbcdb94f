package route

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/peers"
)

// memberBuckets is the number of hash buckets for the pauses and free units of members. Members that
// share a bucket share their pauses; at worst they get a less suitable server.
const memberBuckets = 16

// memberBucket returns the hash bucket of a member's calls of class.
func memberBucket(member uint64, class int) int {
	return int((member + uint64(class)) % memberBuckets)
}

// node is the state kept for one backend server.
type node struct {
	server peers.Server
	hash   uint64
	rtt    float64 // microseconds
	dist   int
	gauges [2]gauge // short, long

	freeUnits   [memberBuckets]uint8         // units that calls of a member from this daemon have returned
	unitFreedAt [memberBuckets]time.Duration // when the last of them was returned

	pausedUntil      time.Duration                // after a refusal that concerns all members, or failures
	memberUntil      [memberBuckets]time.Duration // after a refusal that concerns one member's calls of a class
	pauses           int                          // consecutive refusals
	failures         int                          // consecutive failures
	suspect          bool                         // skipped, since another server is ready
	unreachableUntil time.Duration                // end of the pause after a refused connection

	warmFrom time.Duration // negative once warm

	probation  bool
	probeAt    time.Duration
	probeEvery time.Duration
	probing    bool
	good       int // consecutive successful probes

	reportedLoad float64
	reportedAt   time.Duration
	observedAt   time.Duration // time of the last observation by this daemon
	waiting      int           // calls that waited at the server's daemon at that time
}

func (n *node) inflight() int {
	return n.gauges[0].inflight + n.gauges[1].inflight
}

// ramp returns the share of the full traffic that a warming server may receive.
func (n *node) ramp(now, warmUp time.Duration) float64 {
	if n.warmFrom < 0 {
		return 1
	}
	r := float64(now-n.warmFrom) / float64(warmUp)
	if r >= 1 {
		n.warmFrom = -1
		return 1
	}
	return max(r, 0.1)
}

// queue returns the number of calls of all entry daemons that are estimated to wait at the server's daemon.
func (n *node) queue(now time.Duration) float64 {
	if now-n.observedAt > maxQueueAge[n.dist] {
		return 0
	}
	return float64(n.waiting)
}

// load returns the number of calls estimated to run at the server. A report counts only
// if it is newer than the last observation by this daemon.
func (n *node) load(now, hintAge time.Duration) float64 {
	own := float64(n.inflight())
	if n.reportedAt > n.observedAt && now-n.reportedAt < hintAge {
		return max(own, n.reportedLoad)
	}
	return own
}
