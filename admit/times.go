package admit

import (
	"math"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	// initialServiceTime is the service time assumed until the first request has ended.
	initialServiceTime = 50 * time.Millisecond
	// sampleWeight is the weight of a new sample: about the last 20 samples count.
	sampleWeight = 0.05
)

// tailDeviations is the number of mean deviations above the mean within which some nine of ten requests end: service
// times are skewed, as a part of the requests waits for calls of its own.
const tailDeviations = 1.6

// average is a moving average of durations and of their deviation.
type average struct {
	mean      float64 // seconds
	deviation float64 // mean absolute deviation, seconds
	samples   int
}

// add records a sample with the given weight, or more while there are few samples.
func (a *average) add(d time.Duration, weight float64) {
	a.samples++
	weight = max(weight, 1/float64(a.samples))
	if a.samples > 1 {
		a.deviation += weight * (math.Abs(d.Seconds()-a.mean) - a.deviation)
	}
	a.mean += weight * (d.Seconds() - a.mean)
}

// tail returns the duration within which most samples are.
func (a *average) tail() time.Duration {
	return a.expected() + time.Duration(tailDeviations*a.deviation*float64(time.Second))
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

func (t *routeServiceTimes) expect(route ident.RouteID) time.Duration { return t.of(route).expected() }

// tail returns the service time within which most requests of the route end.
func (t *routeServiceTimes) tail(route ident.RouteID) time.Duration { return t.of(route).tail() }

func (t *routeServiceTimes) of(route ident.RouteID) *average {
	if r := t.routes[route]; r != nil && r.samples >= minRouteSamples {
		return r
	}
	return &t.all
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
