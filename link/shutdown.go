package link

import (
	"context"
	"slices"
	"time"
)

// stopReplyTimeout is how long Shutdown waits until the other daemon sends no further calls. It is a round trip between
// regions and the stops of both daemons by their processor quotas. A daemon of an earlier build does not reply.
const stopReplyTimeout = 250 * time.Millisecond

// shutdown is the state of a Conn that one of the daemons is ending. It is guarded by Conn.mu.
type shutdown struct {
	settled    chan struct{} // closed when no call is left and all is written; nil: Shutdown was not called
	lastCalled bool          // the other daemon sends no further calls, or does not reply
	halfClosed bool          // the sending side is closed
	byOther    bool          // the other daemon is ending the connection
}

// refusesCalls reports whether no further calls may be sent.
func (s *shutdown) refusesCalls() bool { return s.settled != nil || s.byOther }

// Shutdown ends the connection without losing calls: it has the other daemon send no further calls and sends none, waits
// until each call of either daemon has been answered and all frames are written, closes the sending side and waits for
// the other daemon to close the connection. If ctx is done before, it closes the connection. Calls that arrive meanwhile
// are handled; Handlers.Call should refuse them.
func (c *Conn) Shutdown(ctx context.Context) {
	defer c.Close()
	c.mu.Lock()
	first := c.end.settled == nil
	if first {
		c.end.settled = make(chan struct{})
	}
	settled := c.end.settled
	c.mu.Unlock()
	if first {
		c.enqueue(frame{Kind: kindStop}, 0)
		defer time.AfterFunc(stopReplyTimeout, c.endStopWait).Stop()
	}
	select {
	case <-settled:
	case <-c.Done():
		return
	case <-ctx.Done():
		return
	}
	if !c.closeWrite() {
		return
	}
	select {
	case <-c.Done():
	case <-ctx.Done():
	}
}

// stopCalls ends the sending of calls for a daemon that is ending the connection, and tells it so. Calls that have not
// been written end with ErrNotSent.
func (c *Conn) stopCalls() {
	c.mu.Lock()
	c.end.byOther = true
	for i := range c.queues {
		c.queues[i] = slices.DeleteFunc(c.queues[i], func(o queuedFrame) bool {
			w := c.waiting[o.id]
			if w == nil {
				return false
			}
			c.countQueued(&o, -len(o.frame))
			close(w.answer)
			c.forget(o.id)
			return true
		})
	}
	if c.asked != nil {
		c.interruptWriter()
	}
	c.mu.Unlock()
	c.enqueue(frame{Kind: kindStopped}, 0)
}

// endStopWait records that the other daemon sends no further calls, or does not reply.
func (c *Conn) endStopWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end.lastCalled = true
	c.checkSettled()
}

// closeWrite closes the sending side. The other daemon then closes the connection when it has read everything. A full
// close would reset the connection if bytes have been received and not read, and lose what is on its way.
func (c *Conn) closeWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	h, ok := c.nc.(interface{ CloseWrite() error })
	return ok && h.CloseWrite() == nil
}

// checkSettled has Shutdown continue if no call is left and all is written. From then on, nothing is written. The caller
// holds c.mu.
func (c *Conn) checkSettled() {
	if c.end.settled == nil || !c.end.lastCalled || c.end.halfClosed || c.unanswered > 0 || len(c.waiting) > 0 || !c.queueEmpty() || c.writing {
		return
	}
	c.end.halfClosed = true
	close(c.end.settled)
}
