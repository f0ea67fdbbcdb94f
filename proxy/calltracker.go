package proxy

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// errStopping is the cause with which the context of a call ends when the time limit of a stop is over.
var errStopping = errors.New("daemon is stopping")

// endTimeout is the time in which ended calls get their refusals. It covers the report to the home of a key.
const endTimeout = finishTimeout + time.Second

// callTracker counts running calls, so that a graceful stop can wait for them.
type callTracker struct {
	mu      sync.Mutex
	n       int
	stopped bool
	idle    chan struct{} // closed when stopped and no call is running

	calls    context.Context // ends when the calls that still run are to end
	endCalls context.CancelFunc
}

func newCallTracker() *callTracker {
	f := &callTracker{idle: make(chan struct{})}
	f.calls, f.endCalls = context.WithCancel(context.Background())
	return f
}

// withDeadline returns the context of a call. It also ends, with errStopping as its cause, if the call
// still runs at the time limit of a stop.
func (f *callTracker) withDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	parent, end := context.WithCancelCause(parent)
	release := context.AfterFunc(f.calls, func() { end(errStopping) })
	ctx, cancel := context.WithDeadline(parent, deadline)
	return ctx, func() {
		release()
		cancel()
		end(nil)
	}
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

// stop refuses further calls and waits for the running ones. When ctx ends, it ends those that are left, so that each
// gets a refusal before the process exits, and returns an error.
func (f *callTracker) stop(ctx context.Context) error {
	f.mu.Lock()
	if !f.stopped {
		f.stopped = true
		if f.n == 0 {
			close(f.idle)
		}
	}
	f.mu.Unlock()
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
	}
	f.mu.Lock()
	n := f.n
	f.mu.Unlock()
	if n == 0 {
		return nil
	}
	f.endCalls()
	timer := time.NewTimer(endTimeout)
	defer timer.Stop()
	select {
	case <-f.idle:
	case <-timer.C:
	}
	return fmt.Errorf("ended %d calls: %w", n, ctx.Err())
}
