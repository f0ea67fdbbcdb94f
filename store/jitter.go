package store

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// fullJitter is exponential backoff with full jitter: each wait is uniformly distributed between zero
// and an exponentially growing bound, so that clients that failed together do not retry together.
type fullJitter struct {
	bound backoff.ExponentialBackOff
	rand  func() float64
}

func newFullJitter(cfg Config, rand func() float64) *fullJitter {
	return &fullJitter{
		bound: backoff.ExponentialBackOff{InitialInterval: cfg.BackoffMin, Multiplier: 2, MaxInterval: cfg.BackoffMax},
		rand:  rand,
	}
}

// NextBackOff returns the next wait.
func (j *fullJitter) NextBackOff() time.Duration {
	return time.Duration(j.rand() * float64(j.bound.NextBackOff()))
}

// Reset sets the bound back to its initial value.
func (j *fullJitter) Reset() { j.bound.Reset() }
