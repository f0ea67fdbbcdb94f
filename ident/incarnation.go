package ident

import "time"

// Incarnation distinguishes successive processes at the same address. It is the start time in Unix
// nanoseconds, so that a later process has a higher value.
type Incarnation int64

// NewIncarnation returns the incarnation of a process that starts at t.
func NewIncarnation(t time.Time) Incarnation {
	return Incarnation(t.UnixNano())
}
