package proxy

import (
	"context"
	"fmt"
	"sync"
)

// callTracker counts running calls, so that a graceful stop can wait for them.
type callTracker struct {
	mu      sync.Mutex
	n       int
	stopped bool
	idle    chan struct{} // closed when stopped and no call is running
}

func newCallTracker() *callTracker {
	return &callTracker{idle: make(chan struct{})}
}

// begin counts a new call. It returns false if no further calls are accepted.
func (f *callTracker) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return false
	}
	f.n++
	return true
}

func (f *callTracker) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.stopped && f.n == 0 {
		close(f.idle)
	}
}

// stop refuses further calls and waits for the running ones.
func (f *callTracker) stop(ctx context.Context) error {
	f.mu.Lock()
	if !f.stopped {
		f.stopped = true
		if f.n == 0 {
			close(f.idle)
		}
	}
	n := f.n
	f.mu.Unlock()
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for %d calls: %w", n, ctx.Err())
	}
}
