package link

import "context"

// shutdown is the state of a Conn that Shutdown is ending. It is guarded by Conn.mu.
type shutdown struct {
	settled    chan struct{} // closed when no call is left and all is written; nil: Shutdown was not called
	halfClosed bool          // the sending side is closed
}

// Shutdown ends the connection without losing answers: it sends no further calls, waits until each call of either daemon
// has been answered and all frames are written, closes the sending side and waits for the other daemon to close the
// connection. If ctx is done before, it closes the connection. Calls that arrive meanwhile are handled; Handlers.Call
// should refuse them.
func (c *Conn) Shutdown(ctx context.Context) {
	defer c.Close()
	c.mu.Lock()
	if c.end.settled == nil {
		c.end.settled = make(chan struct{})
	}
	settled := c.end.settled
	c.checkSettled()
	c.mu.Unlock()
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
	if c.end.settled == nil || c.end.halfClosed || c.unanswered > 0 || len(c.waiting) > 0 || len(c.queue) > 0 || c.writing {
		return
	}
	c.end.halfClosed = true
	close(c.end.settled)
}
