package accept

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/marjoramcroft/marjoramcroft/delay"
)

// newWait returns a function that waits between the attempts of one proposal, with exponential backoff
// and full jitter. It returns the error of ctx if that has ended.
func (a *Acceptor) newWait() func(context.Context) error {
	policy := backoff.ExponentialBackOff{
		InitialInterval: 20 * time.Millisecond, Multiplier: 2, MaxInterval: 2 * time.Second,
	}
	return func(ctx context.Context) error {
		delay.Sleep(ctx, time.Duration(a.Rand()*float64(policy.NextBackOff())))
		return ctx.Err()
	}
}
