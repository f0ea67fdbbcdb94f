package quota

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// pin is a floating unit that is bound to one long call.
type pin struct {
	member    ident.MemberID
	deadline  time.Time
	confirmed bool
	ready     chan struct{} // closed on confirmation
}
