package retry

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Attempt describes an attempt that has failed.
type Attempt struct {
	Number     int             // 1 for the first attempt of the call
	Idempotent bool            // running it again is safe
	Refusal    *refuse.Refusal // nil if the attempt failed without a refusal
	Sent       bool            // a byte of the request may have reached the backend server
	Remaining  time.Duration   // until the call's deadline
	Retried    bool            // header Marjoramcroft-Retried was on the call or on the failed response
}

// ran reports whether the attempt may have run.
func (a Attempt) ran() bool {
	if a.Refusal != nil {
		return a.Refusal.Ran != refuse.RanNo
	}
	return a.Sent
}
