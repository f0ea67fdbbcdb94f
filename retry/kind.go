package retry

// Kind is the reason for a further attempt.
type Kind string

// The kinds of further attempts.
const (
	NotRun Kind = "NotRun" // the previous attempt did not run
	Failed Kind = "Failed" // the previous attempt ran or may have run
	Hedge  Kind = "Hedge"  // the previous attempt is slow and still running
)
