package retry

import "time"

// NextFunc has the signature of Policy.Next.
type NextFunc func(Attempt) (Decision, Kind)

// Unlimited is the baseline against which Policy and Budget are measured: until the deadline,
// it retries every failed idempotent call and every call that did not run. Daemons do not use
// it.
func Unlimited(a Attempt) (Decision, Kind) {
	kind := Failed
	if !a.ran() {
		kind = NotRun
	}
	// The wait lets the clock advance where servers refuse calls immediately.
	return Decision{Retry: a.Remaining > 0 && (kind == NotRun || a.Idempotent), Wait: time.Microsecond}, kind
}
