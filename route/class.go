package route

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	longFactor      = 8    // a route with this multiple of the usual latency of short work is long
	minRouteSamples = 3    // calls of a route before its class is corrected
	maxRoutes       = 4096 // with more, all are dropped and observed again; an agreement has fewer per service
)

// classes corrects the class of routes that are declared short but take long.
type classes struct {
	shortLatency gauge // latency of short work, with outliers clipped
	routes       map[ident.RouteID]*routeLatency
}

type routeLatency struct {
	gauge
	long bool
}

// classify returns the class of a call, 0 for short and 1 for long.
func (c *classes) classify(req *Request) int {
	if r := c.routes[req.Route]; r != nil && r.long {
		return 1
	}
	return classIndex(req.Class)
}

// add records the latency of a call, in microseconds without the network round trip.
func (c *classes) add(route ident.RouteID, class int, now time.Duration, us float64) {
	if route == "" {
		return
	}
	r := c.routes[route]
	if r == nil {
		if c.routes == nil || len(c.routes) >= maxRoutes {
			c.routes = map[ident.RouteID]*routeLatency{}
		}
		r = &routeLatency{}
		c.routes[route] = r
	}
	r.observe(now, us, 0)
	if class == 0 {
		if c.shortLatency.samples >= minRouteSamples {
			us = min(us, 2*c.shortLatency.ewma)
		}
		c.shortLatency.observe(now, us, 0)
	}
	if c.shortLatency.samples < minRouteSamples || r.samples < minRouteSamples {
		return
	}
	switch ratio := r.ewma / max(c.shortLatency.ewma, 1); {
	case ratio > longFactor:
		r.long = true
	case ratio < longFactor/2:
		r.long = false
	}
}

func classIndex(c agree.Class) int {
	if c == agree.Long {
		return 1
	}
	return 0
}
