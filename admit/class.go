package admit

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	classShort = 0
	classLong  = 1

	minRouteSamples = 3    // calls of a route before its own service time and class are used
	maxRoutes       = 4096 // with more, all are dropped and observed again; an agreement has fewer per service
)

// classifier estimates the service time of each route and corrects the class of routes that are
// declared short but take long.
type classifier struct {
	cfg       *Config
	class     [2]serviceTime
	shortTime serviceTime // service time of short work, with outliers clipped
	routes    map[ident.RouteID]*routeTime
}

type routeTime struct {
	serviceTime
	long bool
}

func newClassifier(cfg *Config) classifier {
	return classifier{cfg: cfg, routes: map[ident.RouteID]*routeTime{}}
}

func declaredClass(c agree.Class) int {
	if c == agree.Long {
		return classLong
	}
	return classShort
}

// classOf returns the class of a call by its declared class and the observed service time of its route.
func (c *classifier) classOf(req *Request) int {
	if r := c.routes[req.Route]; r != nil && r.long {
		return classLong
	}
	return declaredClass(req.Class)
}

// expect returns the expected service time of a call in seconds; zero if it is unknown.
func (c *classifier) expect(now time.Duration, req *Request, class int) float64 {
	if r := c.routes[req.Route]; r != nil && r.samples >= minRouteSamples {
		return r.expect(now, c.cfg.StaleAfter)
	}
	return c.class[class].expect(now, c.cfg.StaleAfter)
}

func (c *classifier) add(now time.Duration, req *Request, class int, v time.Duration) {
	c.class[class].add(now, v)
	r := c.routes[req.Route]
	if r == nil {
		if len(c.routes) >= maxRoutes {
			clear(c.routes)
		}
		r = &routeTime{}
		c.routes[req.Route] = r
	}
	r.add(now, v)
	if class == classShort {
		// Clipped, so that a long route that is declared short does not raise the mean it is compared with.
		if c.shortTime.samples >= minRouteSamples {
			v = min(v, time.Duration(2*c.shortTime.mean*float64(time.Second)))
		}
		c.shortTime.add(now, v)
	}
	if c.shortTime.samples < minRouteSamples || r.samples < minRouteSamples {
		return
	}
	switch ratio := r.mean / max(c.shortTime.mean, 1e-9); {
	case ratio > c.cfg.LongFactor:
		r.long = true
	case ratio < c.cfg.LongFactor/2:
		r.long = false
	}
}
