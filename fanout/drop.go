package fanout

import (
	"fmt"
	"maps"
	"slices"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Reason is the reason for dropping an update.
type Reason string

// Drop reasons. Each has a counter "Fanout.Dropped.REASON" and a numbered log event.
const (
	Corrupt   Reason = "Corrupt"   // cannot be decoded
	Duplicate Reason = "Duplicate" // same Version and hash as the held state
	Stale     Reason = "Stale"     // older than the held state
	Reordered Reason = "Reordered" // its base is newer than the held state
	WrongBase Reason = "WrongBase" // its base is older than the held state, or has another hash
	WrongHash Reason = "WrongHash" // the result does not have the stated hash
	Invalid   Reason = "Invalid"   // the result fails validation
	Diverged  Reason = "Diverged"  // same Version as the held state, different content
)

var dropEvents = map[Reason]event.ID{
	Corrupt:   event.UpdateCorrupt,
	Duplicate: event.UpdateDuplicate,
	Stale:     event.UpdateStale,
	Reordered: event.UpdateReordered,
	WrongBase: event.UpdateWrongBase,
	WrongHash: event.UpdateWrongHash,
	Invalid:   event.UpdateInvalid,
	Diverged:  event.UpdateDiverged,
}

// Reasons returns all reasons in alphabetical order.
func Reasons() []Reason { return slices.Sorted(maps.Keys(dropEvents)) }

// EventOf returns the log event for a reason.
func EventOf(r Reason) event.ID { return dropEvents[r] }

// DropError reports an update that was dropped as a whole.
type DropError struct {
	Reason  Reason
	Version ident.Version // Version of the update
	Held    ident.Version // Version of the held state
	Err     error         // cause, if any
}

// Error returns the reason, both Versions and the cause.
func (e *DropError) Error() string {
	text := fmt.Sprintf("update to version %d dropped at version %d: %s", e.Version, e.Held, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *DropError) Unwrap() error { return e.Err }
