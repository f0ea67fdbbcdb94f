package mesh

import (
	"math"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/pace"
)

const (
	// sizeWeight is the weight of one answer in the moving averages: about the last 20 answers count.
	sizeWeight = 0.05
	// maxSizeAge is the time without an answer after which the size of a route's answers is not known.
	maxSizeAge = time.Minute
)

// answerStats tracks the size of the answers of each route, and the time that a backend server takes for them.
type answerStats struct {
	mu     sync.Mutex
	routes map[ident.RouteID]*answerStat
}

// answerStat holds moving averages for the answers of a route.
type answerStat struct {
	samples      int
	mean, spread float64 // bytes; spread is the mean deviation
	took         float64 // seconds
	at           time.Time
}

// expectedAnswer is what is known of the next answer of a route.
type expectedAnswer struct {
	bytes  int64 // mean; zero: not known, or small
	spread int64 // mean deviation
	took   time.Duration
}

func newAnswerStats() *answerStats { return &answerStats{routes: map[ident.RouteID]*answerStat{}} }

// add records an answer.
func (s *answerStats) add(id ident.RouteID, bytes int, took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[id]
	if r == nil || now.Sub(r.at) > maxSizeAge {
		if len(s.routes) > maxLatencyRoutes {
			clear(s.routes)
		}
		r = &answerStat{}
		s.routes[id] = r
	}
	r.samples++
	w := max(sizeWeight, 1/float64(r.samples))
	r.mean += w * (float64(bytes) - r.mean)
	r.spread += w * (math.Abs(float64(bytes)-r.mean) - r.spread)
	r.took += w * (took.Seconds() - r.took)
	r.at = now
}

// expect returns what is known of the next answer of a route. Its bytes are zero for one that is expected to be small.
func (s *answerStats) expect(id ident.RouteID, now time.Time) expectedAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[id]
	if r == nil || now.Sub(r.at) > maxSizeAge || r.mean <= pace.LargeBytes {
		return expectedAnswer{}
	}
	return expectedAnswer{bytes: int64(r.mean), spread: int64(r.spread), took: time.Duration(r.took * float64(time.Second))}
}
