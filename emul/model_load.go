package emul

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Stream is a stream of calls of one member on one route.
type Stream struct {
	Member  ident.MemberID
	Route   ident.RouteID
	Class   agree.Class
	Rate    func(at time.Duration) float64 // calls per second over all entry daemons
	Entries []float64                      // share of the calls that enter at each place; nil for equal shares
	Mean    time.Duration                  // mean service time
	Sigma   float64                        // standard deviation of the logarithm of the service time
	Timeout time.Duration
	Cap     int // max. calls in flight; further calls are not sent and count as refused by the cap
	Mutates bool
}

// drawServiceTime draws a service time from a log-normal distribution.
func (s *Stream) drawServiceTime(r *rand.Rand) time.Duration {
	mu := math.Log(float64(s.Mean)) - s.Sigma*s.Sigma/2
	return time.Duration(math.Exp(mu + s.Sigma*r.NormFloat64()))
}

// drawEntry draws the index of the entry daemon of a call, with n places and the given number of
// daemons at each.
func (s *Stream) drawEntry(r *rand.Rand, n, daemons int) int {
	if s.Entries == nil {
		return r.IntN(n * daemons)
	}
	x := r.Float64()
	for i, share := range s.Entries {
		if x -= share; x < 0 {
			return i*daemons + r.IntN(daemons)
		}
	}
	return n*daemons - 1
}

// ConstantRate returns a constant rate.
func ConstantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// TenfoldSurge returns a rate that rises from base to ten times base within a second after at,
// stays there for hold and then returns to base.
func TenfoldSurge(base float64, at, hold time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		switch up := t - at; {
		case up < 0 || up > time.Second+hold:
			return base
		case up < time.Second:
			return base * (1 + 9*up.Seconds())
		default:
			return 10 * base
		}
	}
}
