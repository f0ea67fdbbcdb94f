package rate

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the estimate of an account's calls at a holder. It follows demand that moves
	// between daemons within a second.
	demandTime = time.Second
	// prefetchTime is the time for which tokens are kept. It covers a round trip between regions, the stop of a daemon by
	// a processor quota, and the time in which half of the tokens are spent.
	prefetchTime = 400 * time.Millisecond
	// minPrefetchRate is the rate of calls from which tokens are requested before a call waits for one. Those of a lower
	// rate would mostly expire. A spare token in a message for a waiting call costs nothing.
	minPrefetchRate = 2.5
)

// demand estimates the rate of calls.
type demand struct {
	value float64 // calls per second at the time at
	at    time.Duration
}

func (d *demand) add(now time.Duration) {
	d.value = d.rate(now) + 1/demandTime.Seconds()
	d.at = now
}

func (d *demand) rate(now time.Duration) float64 {
	return d.value * math.Exp(-float64(now-d.at)/float64(demandTime))
}
