package quota

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Request is a call that needs a unit. Deadline is on the clock of this VM, which also cancels
// the call.
type Request struct {
	Member   ident.MemberID
	Class    agree.Class
	Deadline time.Time
}
