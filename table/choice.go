package table

import (
	"sync"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Choice is a route with the state of its split. Its methods are safe for concurrent use.
type Choice struct {
	Route

	mu     sync.Mutex
	credit []int // by part, for smooth weighted round robin
	total  int
}

func newChoice(r *Route) *Choice {
	c := &Choice{Route: *r, credit: make([]int, len(r.Parts))}
	for _, p := range r.Parts {
		c.total += p.Weight
	}
	return c
}

// Next returns the service of the next request. Shares follow the weights within each run of
// requests whose length is the sum of the weights, which random choice would miss by chance.
func (c *Choice) Next() ident.ServiceID {
	if len(c.Parts) == 1 {
		return c.Parts[0].Service
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	best := 0
	for i := range c.Parts {
		c.credit[i] += c.Parts[i].Weight
		if c.credit[i] > c.credit[best] {
			best = i
		}
	}
	c.credit[best] -= c.total
	return c.Parts[best].Service
}
