package mesh

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	// deadlineTolerance is by how much the deadlines that callers state for first attempts differ.
	deadlineTolerance = 2 * time.Millisecond
	// deadlineWeight is the weight of one call in the share of calls with the longest deadline: about the last 50 count.
	deadlineWeight = 0.02
	// minFirstShare is the share of calls with the longest deadline from which shorter ones are taken for those of
	// repeated attempts. Below it, callers state deadlines of their own.
	minFirstShare = 0.4
	// initialFirstShare is the share assumed for a deadline that has just become the longest. It is too small to be used,
	// and large enough that some repeated attempts do not replace the deadline.
	initialFirstShare = minFirstShare / 2
	// maxDeadlineRoutes limits the number of tracked routes. When it is exceeded, all are forgotten and learnt again.
	maxDeadlineRoutes = 4096
)

// callerDeadlines estimates how long a caller has already waited when its request arrives. A caller that repeats a refused
// request states the rest of its deadline, and its goal counts from the first attempt.
type callerDeadlines struct {
	mu     sync.Mutex
	routes map[ident.RouteID]*routeDeadline
}

// routeDeadline is the longest deadline that callers of a route state, and the recent share of calls that have it.
type routeDeadline struct {
	longest time.Duration
	share   float64
}

func newCallerDeadlines() callerDeadlines {
	return callerDeadlines{routes: map[ident.RouteID]*routeDeadline{}}
}

// waited records the deadline of a call of the route and returns how long its caller has waited; zero if that is not known.
func (d *callerDeadlines) waited(id ident.RouteID, deadline time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[id]
	if r == nil {
		if len(d.routes) >= maxDeadlineRoutes {
			clear(d.routes)
		}
		r = &routeDeadline{longest: deadline, share: initialFirstShare}
		d.routes[id] = r
	}
	return r.add(deadline)
}

func (r *routeDeadline) add(deadline time.Duration) time.Duration {
	switch {
	case deadline > r.longest+deadlineTolerance:
		r.longest, r.share = deadline, initialFirstShare
	case deadline >= r.longest-deadlineTolerance:
		r.share += deadlineWeight * (1 - r.share)
	default:
		r.share -= deadlineWeight * r.share
		if r.share < deadlineWeight {
			r.longest, r.share = deadline, initialFirstShare // callers have changed their deadline
		}
	}
	if r.share < minFirstShare {
		return 0
	}
	return max(0, r.longest-deadline)
}
