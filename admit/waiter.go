package admit

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// waiter is a call that waits in a queue.
type waiter struct {
	member   ident.MemberID
	class    int
	cost     float64              // expected seconds of service
	deadline time.Duration        // since the start of the gate; zero if there is none
	result   chan *refuse.Refusal // capacity 1; nil on admission
	queue    *queue               // nil once the call has left it
}

// before reports whether the deadline of w is before that of o.
func (w *waiter) before(o *waiter) bool {
	return w.deadline > 0 && (o.deadline == 0 || w.deadline < o.deadline)
}
