package admit

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	// firstGuess is the service time assumed before the first request has ended.
	firstGuess = 50 * time.Millisecond
	// recentShare is the weight of one more sample: about the last 20 count.
	recentShare = 0.05
)

// average is a moving average of durations.
type average struct {
	mean    float64 // seconds
	samples int
}

// add takes a sample, which has at least the weight in what follows.
func (a *average) add(d time.Duration, weight float64) {
	a.samples++
	a.mean += max(weight, 1/float64(a.samples)) * (d.Seconds() - a.mean)
}

// expected returns the mean, or what is assumed before the first sample.
func (a *average) expected() time.Duration {
	if a.samples == 0 {
		return firstGuess
	}
	return time.Duration(a.mean * float64(time.Second))
}

// serviceTimes learns the service time of each route at one backend server.
type serviceTimes struct {
	all    average
	routes map[ident.RouteID]*average
}

func newServiceTimes() serviceTimes {
	return serviceTimes{routes: map[ident.RouteID]*average{}}
}

func (t *serviceTimes) of(route ident.RouteID) time.Duration {
	if r := t.routes[route]; r != nil && r.samples >= learnAfter {
		return r.expected()
	}
	return t.all.expected()
}

func (t *serviceTimes) add(route ident.RouteID, d time.Duration) {
	t.all.add(d, recentShare)
	r := t.routes[route]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			clear(t.routes)
		}
		r = &average{}
		t.routes[route] = r
	}
	r.add(d, recentShare)
}
