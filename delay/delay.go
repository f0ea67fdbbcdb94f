// Package delay provides waits that end early when a context ends.
package delay

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it did so before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Until waits until t and reports whether it did so before ctx ended.
func Until(ctx context.Context, t time.Time) bool { return Sleep(ctx, time.Until(t)) }
