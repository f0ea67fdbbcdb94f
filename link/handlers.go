package link

import (
	"context"

	"github.com/marjoramcroft/marjoramcroft/pace"
)

// Handlers handle calls and notices from the other daemon. Call runs in its own goroutine; its context is
// cancelled when the caller cancels or the connection is closed. An empty answer means that the outcome is not known.
// Notices are handled in order of arrival.
type Handlers struct {
	Call   func(ctx context.Context, c *Conn, body []byte) []byte
	Notice func(c *Conn, body []byte)
	// Busy answers calls above the number that is handled at once. They do not run.
	Busy []byte
	// Ranked is used in place of Call if it is not nil. It also returns how urgent the answer is.
	Ranked func(ctx context.Context, c *Conn, body []byte) ([]byte, Urgency)
	// Queued is told by how much the bytes grow, or shrink, that wait to be written or belong to answers of which a part
	// has arrived; nil: it is not. It must not call the Conn.
	Queued func(n int64)
	// Pacer orders what is written to all daemons, while it is active; nil: frames are written in the order in which they
	// are queued.
	Pacer *pace.Link
	// Hold is asked for n more bytes of memory for a frame that is being read, and told by a negative n that they are
	// released. The connection is closed if it returns false. nil: frames have memory up to their limit of size.
	Hold func(c *Conn, n int64) bool
}

// handle answers a call by Ranked or Call.
func (h *Handlers) handle(ctx context.Context, c *Conn, body []byte) ([]byte, Urgency) {
	if h.Ranked != nil {
		return h.Ranked(ctx, c, body)
	}
	return h.Call(ctx, c, body), Urgency{}
}
