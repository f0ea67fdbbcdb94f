package fanout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/marjoramcroft/marjoramcroft/delay"
)

// Jitter generates random numbers from a seed. It is safe for concurrent use.
type Jitter struct {
	mu sync.Mutex
	r  *rand.Rand
}

// NewJitter returns a Jitter seeded with seed.
func NewJitter(seed uint64) *Jitter {
	return &Jitter{r: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Duration returns a uniformly distributed duration in [0, limit).
func (j *Jitter) Duration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Duration(j.r.Int64N(int64(limit)))
}

// Perm returns a random permutation of n items.
func (j *Jitter) Perm(n int) []int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.r.Perm(n)
}

// backoffDelays generates exponential backoff delays with full jitter: each is uniformly
// distributed from zero to a limit that doubles from first to last.
type backoffDelays struct {
	backoff *backoff.ExponentialBackOff
	jitter  *Jitter
}

func newBackoffDelays(j *Jitter, first, last time.Duration) *backoffDelays {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier, b.RandomizationFactor = first, last, 2, 0
	b.Reset()
	return &backoffDelays{b, j}
}

func (d *backoffDelays) reset() { d.backoff.Reset() }

// wait sleeps for the next delay. It returns false if ctx ended.
func (d *backoffDelays) wait(ctx context.Context) bool {
	return delay.Sleep(ctx, d.jitter.Duration(d.backoff.NextBackOff()))
}
