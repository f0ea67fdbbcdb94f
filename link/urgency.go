package link

import "time"

// Urgency orders a large answer among others, and says until when it is of use.
type Urgency struct {
	Rank     int       // zero goes first
	Goal     time.Time // when the answer should have arrived; zero: not stated
	Deadline time.Time // when the call ends; zero: not stated
}
