package tally

// Outcome is what became of a call.
type Outcome int

// The outcomes of a call, in the order of the table.
const (
	InTime        Outcome = iota // answered within the goal of its route
	Late                         // answered after the goal
	ServerError                  // answered by a backend server with a status of 500 or above
	RefusedAtOnce                // refused as not run, before maxPromptShare of its goal
	RefusedLate                  // refused as not run, later than that
	NoAnswer                     // may have run, and has no answer
	CallerLeft                   // the caller closed its connection
	outcomes
)

// names are the column titles of the outcomes.
var names = [outcomes]string{"in time", "late", "server error", "refused at once", "refused late", "no answer", "caller left"}

// String returns the column title of o.
func (o Outcome) String() string { return names[o] }
