package mesh

import (
	"sync"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	// offerWeight is the weight of one more offer in the share that is taken: about the last 20 count.
	offerWeight = 0.05
	// leastTaken is the share of offers taken below which calls wait in a queue at once. An offer that is not
	// taken costs a round trip and sends the body for nothing.
	leastTaken = 0.4
	// offerTrials is the share of calls that make an offer nevertheless, so that the share is learnt again.
	offerTrials = 0.1
)

// offers learns for each service how often a server takes an offer of a request for a slot that is free at once.
type offers struct {
	mu    sync.Mutex
	taken map[ident.ServiceID]float64
}

// add counts an offer.
func (o *offers) add(id ident.ServiceID, taken bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.taken == nil {
		o.taken = map[ident.ServiceID]float64{}
	}
	share := o.share(id)
	if taken {
		share += offerWeight * (1 - share)
	} else {
		share -= offerWeight * share
	}
	o.taken[id] = share
}

// share returns the share that is taken. o.mu is held.
func (o *offers) share(id ident.ServiceID) float64 {
	if s, ok := o.taken[id]; ok {
		return s
	}
	return 1
}

// worthwhile reports whether an offer is made. random is in [0, 1).
func (o *offers) worthwhile(id ident.ServiceID, random float64) bool {
	if random < offerTrials {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.share(id) >= leastTaken
}
