package admit

import "sync"

// Ticket is the right to run one call on the backend server.
type Ticket struct {
	once sync.Once
	done func(Outcome)
}

// Done returns the slot. Only the first call has an effect.
func (t *Ticket) Done(o Outcome) {
	t.once.Do(func() { t.done(o) })
}
