package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/marjoramcroft/marjoramcroft/event"
)

// errWatchPeriod is returned by an attempt that reached WatchPeriod without an event; Watch then
// sends the watch again.
var errWatchPeriod = errors.New("watch period elapsed")

// call runs f until it succeeds, fails permanently or has used up Config.Attempts. A call that is
// not idempotent is retried only after ErrUnavailable, which means that the store did not run it.
func call[T any](ctx context.Context, c *Client, o op, key string, f func(context.Context) (T, error)) (T, error) {
	var lastErr error // of the last attempt; tells whether a write may have taken effect
	v, err := backoff.Retry(ctx, func() (T, error) {
		v, err := attempt(ctx, c, o, f)
		if lastErr = err; err != nil && !isRetryable(o, err) {
			return v, backoff.Permanent(err)
		}
		return v, err
	},
		backoff.WithBackOff(newFullJitter(c.Config, c.Rand)),
		backoff.WithMaxTries(uint(c.Config.Attempts)),
		backoff.WithMaxElapsedTime(0),
	)
	if err == nil {
		return v, nil
	}
	if err = lastErr; ctx.Err() != nil && !errors.Is(err, ctx.Err()) {
		err = fmt.Errorf("%w: %w", err, ctx.Err())
	}
	if errors.Is(err, ErrUnknown) {
		c.Log.Emit(event.StoreOutcomeUnknown, "Call", string(o), "Key", key, "Role", string(c.role), "Error", err)
	}
	return v, fmt.Errorf("store %s %s: %w", o, key, err)
}

func isRetryable(o op, err error) bool {
	return errors.Is(err, ErrUnavailable) || (o.isIdempotent() && errors.Is(err, ErrUnknown))
}

// attempt sends one call, subject to the role's budget and the circuit breaker, and counts its outcome.
func attempt[T any](ctx context.Context, c *Client, o op, f func(context.Context) (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err := c.limiter.wait(ctx, o, c.Config.BudgetWait); err != nil {
		c.count(o, "Budget")
		c.Log.Emit(event.StoreBudgetExceeded, "Call", string(o), "Role", string(c.role))
		return zero, err
	}
	if !c.breaker.allow(time.Now(), o == opWatch) {
		c.count(o, "BreakerOpen")
		return zero, fmt.Errorf("%w: circuit breaker open", ErrUnavailable)
	}
	timeout := c.Config.Timeout
	if o == opWatch {
		timeout = c.Config.WatchPeriod
	}
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v, err := f(attemptCtx)
	return v, c.classify(ctx, attemptCtx, o, err)
}

// classify maps the error of one attempt to the errors of this package, counts the outcome and
// records it in the circuit breaker.
func (c *Client) classify(ctx, attemptCtx context.Context, o op, err error) error {
	isWatch := o == opWatch
	switch {
	case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrLeaseLost), errors.Is(err, ErrTooLarge),
		errors.Is(err, ErrCompacted):
		c.count(o, answeredOutcome(err))
		if c.breaker.recordSuccess() {
			c.Log.Emit(event.StoreRecovered)
		}
		return err
	case isWatch && ctx.Err() == nil && errors.Is(attemptCtx.Err(), context.DeadlineExceeded):
		c.count(o, "Period")
		c.breaker.release(isWatch)
		return errWatchPeriod
	}
	outcome, kind := "Unavailable", ErrUnavailable
	if o.isWrite() && !errors.Is(err, ErrUnavailable) {
		outcome, kind = "Unknown", ErrUnknown
	}
	if !errors.Is(err, kind) {
		err = fmt.Errorf("%w: %w", kind, err)
	}
	c.count(o, outcome)
	if ctx.Err() != nil {
		// The caller's context ended, possibly before the store could have answered, so this is
		// not a failure of the store.
		c.breaker.release(isWatch)
		return err
	}
	if c.breaker.recordFailure(time.Now()) {
		c.Log.Emit(event.StoreUnavailable, "Call", string(o), "Role", string(c.role), "Error", err)
	}
	return err
}

// answeredOutcome returns the counter name for the outcome of a call that the store answered.
func answeredOutcome(err error) string {
	switch {
	case errors.Is(err, ErrConflict):
		return "Conflict"
	case errors.Is(err, ErrLeaseLost):
		return "LeaseLost"
	case errors.Is(err, ErrTooLarge):
		return "TooLarge"
	case errors.Is(err, ErrCompacted):
		return "Compacted"
	default:
		return "OK"
	}
}

func (c *Client) count(o op, outcome string) {
	c.Stats.Inc("Store." + string(o) + "." + outcome)
	c.Stats.Inc("Store.Role." + string(c.role) + "." + outcome)
}
