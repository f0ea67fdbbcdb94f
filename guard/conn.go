package guard

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connPhase is what a connection of a caller is in.
type connPhase uint8

const (
	inRequest connPhase = iota // the header of a request has been read
	inIdle                     // nothing has arrived since the last response, or since the connection was accepted
	inHeader                   // a part of the header of a request has arrived
)

// Conn is a connection of a client. A close as idle and the arrival of a request exclude each other: after the
// close no byte is read, and after the first byte of a request has arrived the connection is not idle, whether it has
// been read or not. net/http itself reports a connection as idle until it has read the whole head of the next request.
// For the same reason the header timeout is not a deadline of the connection, which could end a request.
type Conn struct {
	net.Conn
	headerTimeout func() time.Duration // in force
	heads         *heads               // nil: headers are not limited
	gate          *gate                // nil: connections are not limited
	left          atomic.Bool          // no longer counted by gate

	mu      sync.Mutex
	phase   connPhase
	reading bool // net/http waits for bytes
	expired bool // closed as idle, or by the header timeout
	since   time.Time
	timeout time.Duration // in force at since; a shorter one applies only to later phases
	readErr error         // last error of a read
	head    headCount     // of the header that is being read
	begun   bool          // a byte of a request has arrived
	served  bool          // a request was passed on
	refused bool          // a header was over a limit
	passed  bool          // the present request was passed on
}

// Read reads from the connection. Bytes that it returns end the idle time. A header over a limit is refused, and empty
// lines before the first request are removed.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		limit, first := c.startRead()
		if first {
			c.heads.log.record(limit)
			if answer := c.heads.answerOver(limit); answer != "" {
				writeRaw(c.Conn, answer)
			}
		}
		if limit != "" {
			return 0, overLimitError(c.Conn)
		}
		n, err := c.Conn.Read(b)
		rest, err := c.endRead(b[:n], err)
		if rest > 0 || n == 0 || err != nil {
			return rest, err //nolint:wrapcheck // net/http checks its type
		}
	}
}

// startRead begins a read, and returns the limit that the header exceeds; empty: none. first tells whether it has not been
// returned before: net/http may read again after an error.
func (c *Conn) startRead() (limit string, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heads != nil && c.phase != inRequest && !c.expired {
		if limit = c.head.over(c.heads.bytes()); limit != "" {
			first = !c.refused
			c.refused = true
			return limit, first
		}
	}
	c.reading = true
	return "", false
}

// endRead records what a read has returned, and returns the number of bytes that are left in b, and the error.
func (c *Conn) endRead(b []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.expired {
		return 0, net.ErrClosed
	}
	if len(b) > 0 && c.phase == inIdle {
		c.phase, c.since, c.timeout = inHeader, time.Now(), c.headerTimeout()
	}
	if err != nil {
		c.readErr = err
	}
	n := len(b)
	if c.heads != nil && c.phase != inRequest {
		n = c.countHead(b)
	}
	return n, err
}

// countHead counts b, and returns the number of bytes that are left in it without empty lines before the first request.
// Later ones may be the end of a header that has been read in part.
func (c *Conn) countHead(b []byte) int {
	if !c.begun {
		rest := bytes.TrimLeft(b, "\r\n")
		c.head.blank += len(b) - len(rest)
		b = b[:copy(b, rest)]
		c.begun = len(b) > 0
	}
	c.head.add(b)
	c.heads.hold(&c.head)
	return len(b)
}

// releaseHead returns the memory of the header. The caller holds c.mu.
func (c *Conn) releaseHead() {
	if c.heads != nil {
		c.heads.release(&c.head)
	}
}

func (c *Conn) startIdle(now time.Time, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.timeout = inIdle, now, timeout
	c.passed = false
	c.releaseHead()
}

func (c *Conn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = inRequest
	c.releaseHead()
}

// expire reports whether the connection has exceeded the idle timeout, or the header timeout. No byte is read from it
// then. A header whose last bytes have arrived does not expire.
func (c *Conn) expire(now time.Time, idleTimeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch took := now.Sub(c.since); c.phase {
	case inIdle:
		c.expired = c.expired || took > max(idleTimeout, c.timeout) && !c.isReadable()
	case inHeader:
		c.expired = c.expired || c.reading && took > c.timeout && !c.isReadable()
	}
	return c.expired
}

// expireIdle reports whether the connection is idle. No byte is read from it then.
func (c *Conn) expireIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = c.expired || c.phase == inIdle && !c.isReadable()
	return c.expired
}

// expireWaiting reports whether nothing of a request waits to be read, and no request is in progress. No byte is read from
// the connection then.
func (c *Conn) expireWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waits := c.phase == inIdle || c.phase == inHeader && c.reading
	c.expired = c.expired || waits && !c.isReadable()
	return c.expired
}

// age returns since when the connection has been in its phase, and whether a request on it was passed on.
func (c *Conn) age() (since time.Time, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.served
}

// isReadable reports whether bytes of the caller, or its close, have arrived that Read has not returned yet. A process
// that is short of processor time reads late: a request may then wait in the socket when the connection is closed.
func (c *Conn) isReadable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	// Control, unlike Read, does not wait for a read in progress. It fails if the connection is closed.
	_ = rc.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return n > 0
}

// isIdle reports whether nothing has arrived since the last response.
func (c *Conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == inIdle
}

// Begin reports whether r may be passed on: its connection has not been closed as idle. A caller may send a
// request before the answer to the previous one, and net/http then takes it from its buffer after the close.
func Begin(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.served, c.passed = inRequest, true, true
	return !c.expired
}

// ReadError returns the last error of a read from the connection of r; nil: there was none.
func ReadError(r *http.Request) error {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr
}

// End is how the connection of a client ended, as counters name it.
type End string

// The values of End.
const (
	EndClosed  End = "Closed"  // by the client
	EndReset   End = "Reset"   // by the client or the network
	EndTimeout End = "Timeout" // a deadline passed before the body had arrived
	EndOther   End = "Other"
)

// EndOf returns how a connection ended, by the error of a read.
func EndOf(err error) End {
	var ne net.Error
	switch {
	case errors.Is(err, io.EOF):
		return EndClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return EndReset
	case errors.As(err, &ne) && ne.Timeout():
		return EndTimeout
	}
	return EndOther
}

type connKey struct{}

// withConn adds the connection to the context of its requests. It is the http.Server.ConnContext hook.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// CloseWrite sends the end of the stream, which net/http does before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite() //nolint:wrapcheck // net/http ignores it
	}
	return errors.ErrUnsupported
}

// lingerTime limits the time in which a caller reads its last answer and closes the connection. It spans a round trip to
// the callers and stops of 100 ms by processor quotas.
const lingerTime = 500 * time.Millisecond

// Close closes the connection. After an answer it first closes the sending side and discards what the caller has sent
// ahead: a close beside unread bytes resets the connection, which cuts an answer that the caller has not received yet.
func (c *Conn) Close() error {
	if c.lingers() {
		c.linger()
	}
	err := c.Conn.Close()
	if c.gate != nil && !c.left.Swap(true) {
		c.gate.leave()
	}
	c.mu.Lock()
	c.releaseHead()
	c.mu.Unlock()
	return err //nolint:wrapcheck // net/http ignores it
}

// linger closes the sending side and reads what the caller sends. A connection whose request was not passed on waits only
// if few others do, and reads no more than lingerBytes: its caller may send without end.
func (c *Conn) linger() {
	var from io.Reader = c.Conn
	c.mu.Lock()
	passed := c.passed
	c.mu.Unlock()
	if c.gate != nil && !passed {
		if !c.gate.startLinger() {
			return
		}
		defer c.gate.endLinger()
		from = io.LimitReader(c.Conn, lingerBytes)
	}
	if c.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, from)
	}
}

// lingers reports whether net/http closes the connection after a request, and the caller has not left.
func (c *Conn) lingers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == inRequest && !c.reading && (c.readErr == nil || EndOf(c.readErr) == EndTimeout)
}

// listener accepts connections of clients.
type listener struct {
	net.Listener
	headerTimeout func() time.Duration
	heads         *heads // nil: headers are not limited
	gate          *gate  // nil: connections are not limited
}

// Accept returns the next connection, a *Conn.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http checks its type
		}
		if l.gate == nil || l.gate.admit(nc) {
			return &Conn{Conn: nc, headerTimeout: l.headerTimeout, heads: l.heads, gate: l.gate}, nil
		}
	}
}
