package store

import "errors"

// Errors returned by store calls; match them with errors.Is.
var (
	// ErrConflict means that the key is not at the expected revision. Nothing was written.
	ErrConflict = errors.New("revision conflict")
	// ErrLeaseLost means that the lease has ended.
	ErrLeaseLost = errors.New("lease lost")
	// ErrCompacted means that the store no longer has the changes after the revision. The caller
	// has to read the whole state again.
	ErrCompacted = errors.New("revision compacted")
	// ErrUnavailable means that the store did not run the call.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTooLarge means that the data exceeds MaxValue. Nothing was written.
	ErrTooLarge = errors.New("value too large")
	// ErrBudget means that the role's call budget does not allow the call now. It was not sent.
	ErrBudget = errors.New("store call budget exceeded")
	// ErrUnknown means that a write was sent and its answer was lost: it may have taken
	// effect, or may still take effect.
	ErrUnknown = errors.New("store answer lost, outcome unknown")
)
