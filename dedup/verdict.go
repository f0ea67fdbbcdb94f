package dedup

import "github.com/marjoramcroft/marjoramcroft/refuse"

// Kind is the kind of outcome of a claim.
type Kind string

// The kinds of outcome. Running, Moved and Refused occur only in replies between daemons.
const (
	Fresh   Kind = "Fresh"   // the caller must run the call, once
	Replay  Kind = "Answer"  // the stored answer of the first call
	Unknown Kind = "Unknown" // the call may have run and must not run again
	Running Kind = "Running" // the first call is still running; retry
	Moved   Kind = "Moved"   // this daemon does not serve the key at present
	Refused Kind = "Refused"
)

// Outcome is the outcome of a claim at the entry daemon: Fresh, Replay or Unknown.
type Outcome struct {
	Kind    Kind
	Answer  Answer          // set for Replay
	Refusal *refuse.Refusal // set for Unknown, sent to the caller
}
