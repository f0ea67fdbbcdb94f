package mesh

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// usualShare is the weight of one more answer in a usual duration: about the last 30 count.
const usualShare = 0.03

// firstUsual is the duration assumed before the first answer. It is long, so that nothing is done early
// for want of knowledge.
const firstUsual = 250 * time.Millisecond

// maxUsual bounds the routes that are known. Beyond, all is learnt again.
const maxUsual = 4096

// usual learns how long calls take, and how much work a route is beside others of its service.
type usual struct {
	mu       sync.Mutex
	routes   map[ident.RouteID]*usualTime
	services map[ident.ServiceID]time.Duration // at the backend server
}

// usualTime is how long calls of a route take.
type usualTime struct {
	total time.Duration // until the answer
	work  time.Duration // at the backend server
}

func newUsual() usual {
	return usual{routes: map[ident.RouteID]*usualTime{}, services: map[ident.ServiceID]time.Duration{}}
}

// of returns how long a call of route takes until its answer.
func (u *usual) of(id ident.RouteID) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t := u.routes[id]; t != nil {
		return t.total
	}
	return firstUsual
}

// workOf returns how long a backend server works on a call of route; zero: not known.
func (u *usual) workOf(id ident.RouteID) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t := u.routes[id]; t != nil {
		return t.work
	}
	return 0
}

// weight returns the work of a call of route as a multiple of the mean of its service.
func (u *usual) weight(id ident.RouteID, service ident.ServiceID) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	t, all := u.routes[id], u.services[service]
	if t == nil || all == 0 {
		return 1
	}
	return t.work.Seconds() / all.Seconds()
}

// add learns from an answer.
func (u *usual) add(id ident.RouteID, service ident.ServiceID, total, work time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.routes) > maxUsual {
		clear(u.routes)
	}
	t := u.routes[id]
	if t == nil {
		t = &usualTime{total: total, work: work}
		u.routes[id] = t
	}
	t.total = blend(t.total, total)
	t.work = blend(t.work, work)
	if u.services[service] == 0 {
		u.services[service] = work
	}
	u.services[service] = blend(u.services[service], work)
}

func blend(old, d time.Duration) time.Duration {
	return old + time.Duration(usualShare*float64(d-old))
}
