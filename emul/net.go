package emul

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Net is a network of named addresses with faults. In memory its connections work in
// virtual time; on loopback each name is mapped to a port.
type Net struct {
	tcp bool

	mu         sync.Mutex
	listeners  map[string]*netListener
	open       []net.Conn
	stallUntil time.Time // writes wait until then
	dials      map[string]int
}

// NewNet returns a network in memory.
func NewNet() *Net {
	return &Net{listeners: map[string]*netListener{}, dials: map[string]int{}}
}

// NewLoopback returns a network of TCP connections on loopback.
func NewLoopback() *Net {
	n := NewNet()
	n.tcp = true
	return n
}

// CloseConnections closes all connections.
func (n *Net) CloseConnections() {
	n.mu.Lock()
	open := n.open
	n.open = nil
	n.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// Delay blocks all writes until d has passed.
func (n *Net) Delay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stallUntil = time.Now().Add(d)
}

// Dials returns the number of connections opened to addr.
func (n *Net) Dials(addr string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[addr]
}

// Listen listens at the name addr.
func (n *Net) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[addr]; ok {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	l := &netListener{n: n, addr: netAddr(addr), conns: make(chan net.Conn), done: make(chan struct{})}
	if n.tcp {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen %s: %w", addr, err)
		}
		l.tcp = ln
	}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to the name addr. The connection is refused if there is no listener.
func (n *Net) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	addr = strings.TrimSuffix(addr, ":80") // added by net/http
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, newRefusedError(addr)
	}
	c, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = append(n.open, c)
	n.dials[addr]++
	return &netConn{Conn: c, n: n, addr: netAddr(addr)}, nil
}

func newRefusedError(addr string) error {
	return &net.OpError{Op: "dial", Net: "emul", Addr: netAddr(addr), Err: syscall.ECONNREFUSED}
}

func (n *Net) stallTime() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Until(n.stallUntil)
}

type netAddr string

// Network returns "emul".
func (a netAddr) Network() string { return "emul" }

// String returns the name.
func (a netAddr) String() string { return string(a) }

type netListener struct {
	n     *Net
	addr  netAddr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	tcp   net.Listener // nil in memory
}

func (l *netListener) dial(ctx context.Context) (net.Conn, error) {
	if l.tcp != nil {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", l.tcp.Addr().String())
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", l.addr, err)
		}
		return c, nil
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, newRefusedError(string(l.addr))
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", l.addr, ctx.Err())
	}
}

// Accept returns the next connection.
func (l *netListener) Accept() (net.Conn, error) {
	if l.tcp != nil {
		c, err := l.tcp.Accept()
		if err != nil {
			return nil, fmt.Errorf("accept: %w", err)
		}
		return &netConn{Conn: c, n: l.n, addr: l.addr}, nil
	}
	select {
	case c := <-l.conns:
		return &netConn{Conn: c, n: l.n, addr: l.addr}, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Addr returns the name on which l listens.
func (l *netListener) Addr() net.Addr { return l.addr }

// Close stops listening and releases the name.
func (l *netListener) Close() error {
	l.once.Do(func() {
		l.n.mu.Lock()
		delete(l.n.listeners, string(l.addr))
		l.n.mu.Unlock()
		close(l.done)
		if l.tcp != nil {
			_ = l.tcp.Close()
		}
	})
	return nil
}

// netConn is one end of a connection.
type netConn struct {
	net.Conn
	n    *Net
	addr net.Addr
}

// RemoteAddr returns the name of the listening end.
func (c *netConn) RemoteAddr() net.Addr { return c.addr }

// Write waits for the end of a delay before it writes.
func (c *netConn) Write(b []byte) (int, error) {
	if d := c.n.stallTime(); d > 0 {
		time.Sleep(d)
	}
	return c.Conn.Write(b)
}

// CloseWrite closes the sending side. The error is errors.ErrUnsupported in memory.
func (c *netConn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what Close does with unsent data; zero resets the connection. The error is errors.ErrUnsupported in
// memory.
func (c *netConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}
