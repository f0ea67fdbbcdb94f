package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// trackedConn is a connection that counts its writes. If a reused connection turns out to be
// closed and nothing was written since the request took it, the request is known not to have
// run.
type trackedConn struct {
	net.Conn
	opened time.Time
	ended  chan struct{} // closed when both sides have closed the connection, or at lingerUntil
	mu     sync.Mutex
	writes uint64
	sealed bool
	closed bool
	// lingerUntil is set while the peer may be running a request: Close then closes only the
	// write side and waits until this time for the peer to close.
	lingerUntil time.Time
	owner       *requestTrace // the request that set lingerUntil
}

// Read returns net.ErrClosed after Close.
func (c *trackedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(b) //nolint:wrapcheck // net/http compares errors of reads
}

// Close closes the connection. While the peer may be running a request, only the write side is
// closed: a server takes that as a cancellation and closes its side when the request has
// ended.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	until := c.lingerUntil
	c.mu.Unlock()
	if !first {
		return nil
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || until.IsZero() || half.CloseWrite() != nil {
		defer close(c.ended)
		return c.Conn.Close() //nolint:wrapcheck // as the connection's own
	}
	// Unblocks net/http's pending read.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	go c.awaitPeerClose(until)
	return nil
}

// awaitPeerClose closes the connection when the peer has closed it, at the latest at deadline.
func (c *trackedConn) awaitPeerClose(deadline time.Time) {
	defer close(c.ended)
	_ = c.SetReadDeadline(deadline)
	// Any error means that the connection has ended.
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.Conn.Close()
}

// begin records that the request of t is sent over c and may run until the given time; zero if
// its end does not matter.
func (c *trackedConn) begin(t *requestTrace, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner, c.lingerUntil = t, until
}

// finish records that the request of t has ended.
func (c *trackedConn) finish(t *requestTrace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner == t {
		c.owner, c.lingerUntil = nil, time.Time{}
	}
}

// Write counts the write before making it, so that a failed write counts too.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		return n, fmt.Errorf("write to %s: %w", c.RemoteAddr(), err)
	}
	return n, nil
}

func (c *trackedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal prevents further writes and reports whether there were any since the count n.
func (c *trackedConn) seal(n uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes != n
}

func trackConns(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c, opened: time.Now(), ended: make(chan struct{})}, nil
	}
}

// requestTrace records whether any byte of a request was written to a connection.
type requestTrace struct {
	mu           sync.Mutex
	conn         *trackedConn
	writesBefore uint64
	wrote        bool
	untracked    bool // a connection that is not a trackedConn was used; assume that it was written to
	connected    bool
	// runsUntil is the latest time at which the peer may still run the request; zero if its
	// end does not matter.
	runsUntil time.Time
	lastConn  *trackedConn // the connection used last
	carried   bool         // that connection had carried another request
}

// finish records that the peer has ended the request.
func (t *requestTrace) finish() {
	t.mu.Lock()
	c := t.lastConn
	t.mu.Unlock()
	if c != nil {
		c.finish(t)
	}
}

// connEnded returns a channel that is closed when the peer has ended the request after its
// connection was closed; nil if no connection was used.
func (t *requestTrace) connEnded() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastConn == nil {
		return nil
	}
	return t.lastConn.ended
}

func (t *requestTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *requestTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealConn()
	t.connected, t.carried = true, info.Reused
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		t.untracked = true
		return
	}
	t.conn, t.lastConn, t.writesBefore = c, c, c.count()
	c.begin(t, t.runsUntil)
}

// reused reports whether the connection of the request had carried another one.
func (t *requestTrace) reused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.carried
}

// openedBefore reports whether the request uses a connection that was opened before at.
func (t *requestTrace) openedBefore(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastConn != nil && t.lastConn.opened.Before(at)
}

// closeConn closes the connection of the request.
func (t *requestTrace) closeConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		// If closing fails, the connection is already broken.
		_ = t.conn.Close()
	}
}

// abandonConn closes the connection of the request after an answer that is not its own. The Transport keeps it if that
// answer has no body, and the next request would get the answer to this one.
func (t *requestTrace) abandonConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealConn()
	if t.lastConn != nil {
		// If closing fails, the connection is already broken.
		_ = t.lastConn.Close()
	}
}

func (t *requestTrace) sealConn() {
	if t.conn != nil {
		t.wrote = t.conn.seal(t.writesBefore) || t.wrote
		t.conn = nil
	}
}

// sent reports, after the request has failed, whether any byte of it may have been written.
// Nothing is written afterwards.
func (t *requestTrace) sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealConn()
	return t.wrote || t.untracked
}

// refused reports whether no connection could be made.
func (t *requestTrace) refused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.connected
}
