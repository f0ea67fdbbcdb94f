package admit

import (
	"context"
	"errors"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// EnterFunc has the signature of Gate.Enter.
type EnterFunc func(ctx context.Context, req Request) (*Ticket, error)

// FIFO returns the baseline for comparison with Gate in simulations: one queue for all members and classes,
// without a reserve and without early refusal. Daemons do not use it.
func FIFO(slots ident.Units, queue int) EnterFunc {
	free := make(chan struct{}, slots)
	waiting := make(chan struct{}, queue)
	return func(ctx context.Context, _ Request) (*Ticket, error) {
		select {
		case waiting <- struct{}{}:
		default:
			return nil, refuse.NotRun(refuse.QueueFull, "the queue is full")
		}
		defer func() { <-waiting }()
		select {
		case free <- struct{}{}:
			return &Ticket{done: func(Outcome) { <-free }}, nil
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil, refuse.NotRun(refuse.DeadlinePassed, "deadline passed in the queue")
			}
			return nil, refuse.NotRun(refuse.Cancelled, "caller left the queue")
		}
	}
}
