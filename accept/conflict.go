package accept

import (
	"fmt"
	"strings"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Conflict is a row that both the proposal and a change accepted since its base modify. A nil value
// means that the row is absent.
type Conflict struct {
	Key    agree.Key
	Base   *agree.Row // in the base of the proposal
	Theirs *agree.Row // in head
	Ours   *agree.Row // in the proposal
}

// String returns the key, the value in head (theirs) and the value in the proposal (ours).
func (c Conflict) String() string {
	return fmt.Sprintf("%s: theirs %s, ours %s", c.Key, describeRow(c.Theirs), describeRow(c.Ours))
}

func describeRow(r *agree.Row) string {
	if r == nil {
		return "absent"
	}
	switch r.Kind {
	case agree.KindCap:
		return fmt.Sprintf("%d units", r.Units)
	case agree.KindRoute:
		return fmt.Sprintf("%s of %s to %s, %s, %s, %s", r.Prefix, r.Member, r.Service, r.Class, r.Repeat, r.Timeout)
	default:
		return "present"
	}
}

// ConflictError lists all conflicts of a proposal. It wraps ErrConflict.
type ConflictError struct {
	Base      ident.Version
	Head      ident.Version
	Conflicts []Conflict
}

// Error returns the Versions and all conflicts.
func (e *ConflictError) Error() string {
	texts := make([]string, 0, len(e.Conflicts))
	for _, c := range e.Conflicts {
		texts = append(texts, c.String())
	}
	return fmt.Sprintf("%s: base %d, head %d: %s", ErrConflict, e.Base, e.Head, strings.Join(texts, "; "))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }
