package mesh

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// latencyWeight is the weight of one answer in the moving average: about the last 30 answers count.
const latencyWeight = 0.03

// initialLatency is the latency assumed before the first answer. It is high, so that no hedged attempt starts
// too early.
const initialLatency = 250 * time.Millisecond

// maxLatencyRoutes limits the number of tracked routes. When it is exceeded, all are discarded and measured
// again.
const maxLatencyRoutes = 4096

// latencyStats tracks the latency of each route, and the service time of a route relative to its service.
type latencyStats struct {
	mu       sync.Mutex
	routes   map[ident.RouteID]*routeLatency
	services map[ident.ServiceID]time.Duration // mean service time at the backend server
}

// routeLatency holds moving averages for the calls of a route.
type routeLatency struct {
	total       time.Duration // until the answer arrives
	serviceTime time.Duration // at the backend server
}

func newLatencyStats() latencyStats {
	return latencyStats{routes: map[ident.RouteID]*routeLatency{}, services: map[ident.ServiceID]time.Duration{}}
}

// latency returns the average time until the answer to a call of the route.
func (s *latencyStats) latency(id ident.RouteID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.routes[id]; t != nil {
		return t.total
	}
	return initialLatency
}

// serviceTime returns the average time at the backend server for a call of the route; zero: not known.
func (s *latencyStats) serviceTime(id ident.RouteID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.routes[id]; t != nil {
		return t.serviceTime
	}
	return 0
}

// weight returns the service time of the route as a multiple of the mean of its service.
func (s *latencyStats) weight(id ident.RouteID, service ident.ServiceID) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, all := s.routes[id], s.services[service]
	if t == nil || all == 0 {
		return 1
	}
	return t.serviceTime.Seconds() / all.Seconds()
}

// add records the durations of an answered call.
func (s *latencyStats) add(id ident.RouteID, service ident.ServiceID, total, serviceTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.routes) > maxLatencyRoutes {
		clear(s.routes)
	}
	t := s.routes[id]
	if t == nil {
		t = &routeLatency{total: total, serviceTime: serviceTime}
		s.routes[id] = t
	}
	t.total = movingAverage(t.total, total)
	t.serviceTime = movingAverage(t.serviceTime, serviceTime)
	if s.services[service] == 0 {
		s.services[service] = serviceTime
	}
	s.services[service] = movingAverage(s.services[service], serviceTime)
}

func movingAverage(old, d time.Duration) time.Duration {
	return old + time.Duration(latencyWeight*float64(d-old))
}
