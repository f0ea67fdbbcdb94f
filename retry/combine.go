package retry

import "github.com/marjoramcroft/marjoramcroft/refuse"

// combine returns the error of a hedged call whose two attempts failed with a and b; either
// may be nil. The error of an attempt that may have run takes precedence, since the call as a
// whole may then have run and must not be reported as not run.
func combine(a, b error) error {
	switch {
	case a == nil:
		return b
	case b == nil || mayHaveRun(a) || !mayHaveRun(b):
		return a
	default:
		return b
	}
}

func mayHaveRun(err error) bool {
	r := refuse.From(err)
	return r == nil || r.Ran != refuse.RanNo
}
