package table

import (
	"sync"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// WeightedRoute is a route with the state of its weighted round robin. Its methods are safe for concurrent
// use.
type WeightedRoute struct {
	Route

	mu             sync.Mutex
	currentWeights []int // by part, as in smooth weighted round robin
	totalWeight    int
}

func newWeightedRoute(r *Route) *WeightedRoute {
	w := &WeightedRoute{Route: *r, currentWeights: make([]int, len(r.Parts))}
	for _, p := range r.Parts {
		w.totalWeight += p.Weight
	}
	return w
}

// Next returns the service for the next request. In every run of requests as long as the sum of the weights,
// the shares match the weights exactly, which random selection would not ensure.
func (r *WeightedRoute) Next() ident.ServiceID {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best := 0
	for i := range r.Parts {
		r.currentWeights[i] += r.Parts[i].Weight
		if r.currentWeights[i] > r.currentWeights[best] {
			best = i
		}
	}
	r.currentWeights[best] -= r.totalWeight
	return r.Parts[best].Service
}
