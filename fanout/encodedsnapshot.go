package fanout

import (
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// encodedSnapshot is a snapshot that is encoded once and sent to many subscribers.
type encodedSnapshot struct {
	HeldState
	body wire.Body
}

// matches reports whether s is the snapshot of a.
func (s encodedSnapshot) matches(a *agree.Agreement) bool {
	return s.body != nil && s.Version == a.Version() && s.Hash == a.Hash()
}
