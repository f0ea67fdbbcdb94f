package retry

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Policy decides whether a failed attempt is retried.
type Policy struct {
	// MaxNotRun limits the attempts of a call while none has run.
	MaxNotRun int
	// MaxRun limits the attempts of a call once one may have run.
	MaxRun int
	// MinRemaining is the shortest time until the deadline in which a further attempt is made.
	MinRemaining time.Duration
	// Wait is the delay before the second and later retries of a call that did not run.
	Wait time.Duration
}

// DefaultPolicy returns the default settings.
func DefaultPolicy() Policy {
	return Policy{
		MaxNotRun:    5, // reaches each of four servers, and one of them again
		MaxRun:       2,
		MinRemaining: 2 * time.Millisecond,
		Wait:         5 * time.Millisecond,
	}
}

// retryableElsewhere lists the refusals after which another server may accept the call.
var retryableElsewhere = map[refuse.Reason]bool{
	refuse.CapReached:       true,
	refuse.CapUnavailable:   true,
	refuse.QueueFull:        true,
	refuse.DeadlineTooShort: true,
	refuse.Draining:         true,
	refuse.Starting:         true,
	refuse.Shedding:         true,
	// Returned by a daemon that cannot be reached, whose backend server is gone, or that has
	// just started. An entry daemon that knows no server makes no attempt.
	refuse.NoServer:    true,
	refuse.NoAgreement: true,
	refuse.NoRoute:     true,
}

// Next decides on a further attempt after a. A call that may have run is retried only if it is
// idempotent and no other hop of its chain has retried it: if each hop retried failures, the
// attempts would multiply by the limit of each hop.
func (p Policy) Next(a Attempt) (Decision, Kind) {
	kind := Failed
	if !a.ran() {
		kind = NotRun
	}
	if a.Remaining < p.MinRemaining {
		return Decision{}, kind
	}
	if a.Refusal != nil && !retryableElsewhere[a.Refusal.Reason] && a.Refusal.Reason != refuse.AnswerLost {
		return Decision{}, kind
	}
	if kind == Failed {
		return Decision{Retry: a.Idempotent && !a.Retried && a.Number < p.MaxRun}, kind
	}
	if a.Number >= p.MaxNotRun {
		return Decision{}, kind
	}
	d := Decision{Retry: true}
	if a.Number > 1 {
		d.Wait = min(p.Wait, a.Remaining/4)
	}
	return d, kind
}
