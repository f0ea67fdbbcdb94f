package store

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// budgetLimiter enforces the Budget of one role.
type budgetLimiter struct {
	reads, writes *rate.Limiter
}

func newBudgetLimiter(b Budget) *budgetLimiter {
	return &budgetLimiter{
		reads:  rate.NewLimiter(rate.Limit(b.Reads), b.ReadBurst),
		writes: rate.NewLimiter(rate.Limit(b.Writes), b.WriteBurst),
	}
}

// wait blocks until the budget allows the call. It returns ErrBudget at once if the delay would
// exceed maxWait or the deadline of ctx.
func (l *budgetLimiter) wait(ctx context.Context, o op, maxWait time.Duration) error {
	limiter := l.reads
	if o.isWrite() {
		limiter = l.writes
	}
	now := time.Now()
	r := limiter.ReserveN(now, 1)
	d := r.DelayFrom(now)
	if d == 0 {
		return nil
	}
	if deadline, ok := ctx.Deadline(); d > maxWait || (ok && deadline.Sub(now) < d) {
		r.CancelAt(now)
		return fmt.Errorf("%w: next call allowed in %s", ErrBudget, d)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		r.Cancel()
		return fmt.Errorf("%w: %w", ErrBudget, ctx.Err())
	}
}
