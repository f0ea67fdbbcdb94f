package admit

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	// initialServiceTime is the service time assumed until the first request has ended.
	initialServiceTime = 50 * time.Millisecond
	// sampleWeight is the weight of a new sample: about the last 20 samples count.
	sampleWeight = 0.05
)

// average is a moving average of durations.
type average struct {
	mean    float64 // seconds
	samples int
}

// add records a sample with the given weight, or more while there are few samples.
func (a *average) add(d time.Duration, weight float64) {
	a.samples++
	a.mean += max(weight, 1/float64(a.samples)) * (d.Seconds() - a.mean)
}

// expected returns the mean, or initialServiceTime before the first sample.
func (a *average) expected() time.Duration {
	if a.samples == 0 {
		return initialServiceTime
	}
	return time.Duration(a.mean * float64(time.Second))
}

// routeServiceTimes estimates the service time of each route at one backend server.
type routeServiceTimes struct {
	all    average
	routes map[ident.RouteID]*average
}

func newRouteServiceTimes() routeServiceTimes {
	return routeServiceTimes{routes: map[ident.RouteID]*average{}}
}

func (t *routeServiceTimes) expect(route ident.RouteID) time.Duration {
	if r := t.routes[route]; r != nil && r.samples >= minRouteSamples {
		return r.expected()
	}
	return t.all.expected()
}

func (t *routeServiceTimes) add(route ident.RouteID, d time.Duration) {
	t.all.add(d, sampleWeight)
	r := t.routes[route]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			clear(t.routes)
		}
		r = &average{}
		t.routes[route] = r
	}
	r.add(d, sampleWeight)
}
