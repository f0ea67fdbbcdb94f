package mesh

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// usualShare is the weight of one more answer in the usual duration of a route: about the last 30 count.
const usualShare = 0.03

// firstUsual is the duration assumed before the first answer. It is long, so that nothing is done early
// for want of knowledge.
const firstUsual = 250 * time.Millisecond

// usual learns how long calls of each route take.
type usual struct {
	mu     sync.Mutex
	routes map[ident.RouteID]time.Duration
}

func (u *usual) of(id ident.RouteID) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if d, ok := u.routes[id]; ok {
		return d
	}
	return firstUsual
}

func (u *usual) add(id ident.RouteID, d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	old, ok := u.routes[id]
	if !ok {
		old = d
	}
	u.routes[id] = old + time.Duration(usualShare*float64(d-old))
}
