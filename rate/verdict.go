package rate

import "time"

// Decision tells what becomes of a call.
type Decision uint8

// The decisions about a call.
const (
	Admitted    Decision = iota + 1 // the call has a token
	Pending                         // the keeper has been asked; call Retake when it has answered
	Exceeded                        // the account is over its limit
	Unavailable                     // no keeper can be reached
)

// Verdict is the decision about a call.
type Verdict struct {
	Decision   Decision
	Ticket     Ticket        // if admitted
	RetryAfter time.Duration // if exceeded or unavailable
}

// Ticket identifies the token of an admitted call, so that it can be returned.
type Ticket struct {
	seq  uint32 // of the lot; zero: of the holder's allowance
	used time.Duration
}
