package retry

import "time"

// Decision says whether to make a further attempt, and after which wait. The caller makes it
// only if Budget.Take allows it.
type Decision struct {
	Retry bool
	Wait  time.Duration
}
