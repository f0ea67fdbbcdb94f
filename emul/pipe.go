package emul

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// stream is one direction of a connection. Writes never block, as if the socket buffer were
// unlimited.
type stream struct {
	ready chan struct{}

	mu       sync.Mutex
	segments []segment
	closed   bool
	last     wire.Type // of the last request or notice
}

type segment struct {
	at   time.Time // time of arrival
	data []byte    // empty marks the end of the stream
}

func newStream() *stream {
	return &stream{ready: make(chan struct{}, 1)}
}

func (s *stream) push(p segment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.closed = len(p.data) == 0
	s.segments = append(s.segments, p)
	select {
	case s.ready <- struct{}{}:
	default:
	}
	return true
}

// pipeConn is one end of a connection.
type pipeConn struct {
	n         *Network
	own, peer *host
	in, out   *stream
	delay     time.Duration
	name      ident.Addr

	once sync.Once
	done chan struct{} // closed by Close
}

// Read returns data that has arrived, or io.EOF after the peer has closed the connection.
func (c *pipeConn) Read(b []byte) (int, error) {
	for {
		if c.isClosed() {
			return 0, net.ErrClosed
		}
		c.n.mu.Lock()
		partitioned, changed := c.n.isPartitioned(c.own, c.peer), c.n.changed
		c.n.mu.Unlock()
		wait, got, err := c.in.peek(b)
		if got > 0 && !partitioned || err != nil && !partitioned {
			c.in.consume(got)
			return got, err
		}
		var timer <-chan time.Time
		if wait > 0 {
			t := time.NewTimer(wait)
			defer t.Stop()
			timer = t.C
		}
		ready := c.in.ready
		if partitioned {
			ready = nil
		}
		select {
		case <-timer:
		case <-ready:
		case <-changed:
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
}

func (c *pipeConn) isClosed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// peek copies data that has arrived into b without removing it, or returns the time until
// the next segment arrives.
func (s *stream) peek(b []byte) (wait time.Duration, got int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.segments) == 0 {
		return 0, 0, nil
	}
	p := s.segments[0]
	if d := time.Until(p.at); d > 0 {
		return d, 0, nil
	}
	if len(p.data) == 0 {
		return 0, 0, io.EOF
	}
	return 0, copy(b, p.data), nil
}

func (s *stream) consume(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n == 0 {
		return
	}
	s.segments[0].data = s.segments[0].data[n:]
	if len(s.segments[0].data) == 0 {
		s.segments = s.segments[1:]
	}
}

// Write queues b for the peer.
func (c *pipeConn) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	if !c.out.push(segment{at: time.Now().Add(c.delay), data: append([]byte(nil), b...)}) {
		return 0, io.ErrClosedPipe
	}
	f := c.out.readFrame(b)
	c.n.mu.Lock()
	c.own.bytes += int64(len(b))
	c.peer.bytes += int64(len(b))
	c.n.count(c.own.place, c.peer.place, int64(len(b)), f.isUpdate())
	if c.n.usage != nil {
		c.n.usage.add(c, f, len(b))
	}
	c.n.mu.Unlock()
	return len(b), nil
}

// Close ends both directions; the peer reads io.EOF after the latency.
func (c *pipeConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.out.push(segment{at: time.Now().Add(c.delay)})
		c.n.mu.Lock()
		delete(c.own.conns, c)
		c.n.mu.Unlock()
	})
	return nil
}

// CloseWrite ends the sending direction; the peer reads io.EOF after the latency.
func (c *pipeConn) CloseWrite() error {
	c.out.push(segment{at: time.Now().Add(c.delay)})
	return nil
}

// LocalAddr returns a placeholder address.
func (c *pipeConn) LocalAddr() net.Addr { return addr("local") }

// RemoteAddr returns the address dialled.
func (c *pipeConn) RemoteAddr() net.Addr { return addr(c.name) }

// SetDeadline does nothing: writes do not block and package wire reads without a deadline.
func (c *pipeConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *pipeConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *pipeConn) SetWriteDeadline(time.Time) error { return nil }

type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }
