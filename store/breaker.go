package store

import (
	"sync"
	"time"
)

// breaker is a circuit breaker. It opens after maxFailures consecutive failures. Once openFor has
// elapsed it admits one probe call at a time until a call succeeds.
type breaker struct {
	maxFailures int
	openFor     time.Duration

	mu        sync.Mutex
	failures  int
	openUntil time.Time // zero if closed
	probing   bool      // a probe is in flight
}

// allow reports whether a call may be sent. A watch is never counted as the probe, because it may block
// for the whole watch period.
func (b *breaker) allow(now time.Time, isWatch bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openUntil.IsZero() {
		return true
	}
	if now.Before(b.openUntil) || b.probing {
		return false
	}
	b.probing = !isWatch
	return true
}

// recordSuccess records that the store answered a call and reports whether it closed the breaker.
func (b *breaker) recordSuccess() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasOpen := !b.openUntil.IsZero()
	b.failures, b.openUntil, b.probing = 0, time.Time{}, false
	return wasOpen
}

// recordFailure records a failure and reports whether it opened the breaker.
func (b *breaker) recordFailure(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	b.probing = false
	if b.failures < b.maxFailures {
		return false
	}
	wasOpen := !b.openUntil.IsZero()
	b.openUntil = now.Add(b.openFor)
	return !wasOpen
}

// isOpen reports whether the breaker is open, including the time in which it probes.
func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.openUntil.IsZero()
}

// release ends a probe whose outcome says nothing about the state of the store.
func (b *breaker) release(isWatch bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !isWatch {
		b.probing = false
	}
}
