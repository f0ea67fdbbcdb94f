package mesh

import (
	"sync"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	// acceptRatioWeight is the weight of one attempt in the moving average: about the last 20 attempts count.
	acceptRatioWeight = 0.05
	// minAcceptRatio is the accept ratio below which calls are queued without a no-wait attempt. A rejected
	// attempt costs a round trip and sends the body in vain.
	minAcceptRatio = 0.4
	// explorationRatio is the share of calls that make a no-wait attempt regardless, to keep the ratio
	// current.
	explorationRatio = 0.1
)

// noWaitStats tracks for each service how often a server has a free slot for a no-wait attempt.
type noWaitStats struct {
	mu           sync.Mutex
	acceptRatios map[ident.ServiceID]float64
}

// add records the result of a no-wait attempt.
func (o *noWaitStats) add(id ident.ServiceID, accepted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.acceptRatios == nil {
		o.acceptRatios = map[ident.ServiceID]float64{}
	}
	ratio := o.acceptRatio(id)
	if accepted {
		ratio += acceptRatioWeight * (1 - ratio)
	} else {
		ratio -= acceptRatioWeight * ratio
	}
	o.acceptRatios[id] = ratio
}

// acceptRatio returns the ratio of accepted attempts. The caller holds o.mu.
func (o *noWaitStats) acceptRatio(id ident.ServiceID) float64 {
	if s, ok := o.acceptRatios[id]; ok {
		return s
	}
	return 1
}

// shouldTry reports whether to make a no-wait attempt. random is in [0, 1).
func (o *noWaitStats) shouldTry(id ident.ServiceID, random float64) bool {
	if random < explorationRatio {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acceptRatio(id) >= minAcceptRatio
}
