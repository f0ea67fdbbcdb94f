package accept

import (
	"errors"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

// refusals lists the errors that count as refusals, with their names in counters. The final ones follow
// from the proposal and head alone, so after one of them no earlier submission of the same change can
// take effect: it was prepared from the same head, where it would have been refused as well, or from
// an older one, which it can no longer replace. The others depend on chunks and records, which may
// have been intact at the earlier submission.
var refusals = []struct {
	err   error
	name  string
	final bool
}{
	{ErrNotRestorable, "NotRestorable", false},
	{ErrHeadChanged, "BaseMoved", false},
	{ErrHeadIntact, "HeadIntact", false},
	{ErrUnconfirmed, "Unconfirmed", false},
	{ErrConflict, "Conflict", true},
	{agree.ErrInvalid, "Invalid", true},
	{ErrProposal, "Malformed", true},
	{ErrBaseRequired, "BaseRequired", true},
	{ErrBaseUnknown, "BaseUnknown", true},
	{ErrBaseRemoved, "BaseGone", true},
}

// isFinal reports whether err is a refusal after which no earlier submission of the same change can
// take effect.
func isFinal(err error) bool {
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			return r.final
		}
	}
	return false
}

// refusalName returns the counter name of the refusal err, or "" if err is another failure.
func refusalName(err error) string {
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return ""
}
