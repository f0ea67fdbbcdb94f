package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
)

// Listener accepts connections and serves them with one handler.
type Listener struct {
	ln      net.Listener
	handler Handler

	mu    sync.Mutex
	conns map[*Conn]struct{}
	wg    sync.WaitGroup
}

// NewListener returns a Listener on ln.
func NewListener(ln net.Listener, handler Handler) *Listener {
	return &Listener{ln: ln, handler: handler, conns: map[*Conn]struct{}{}}
}

// Addr returns the address of the listener.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Serve accepts connections until Close.
func (l *Listener) Serve() error {
	for {
		nc, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		c := NewConn(nc, l.handler)
		l.add(c)
	}
}

func (l *Listener) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.wg.Go(func() {
		_ = c.Serve()
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	})
}

// Close stops accepting, closes all connections and waits for them to end.
func (l *Listener) Close() error {
	err := l.ln.Close()
	l.mu.Lock()
	for c := range l.conns {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
	if err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial connects to addr with open. Serve runs in a goroutine until the connection ends.
func Dial(ctx context.Context, open DialFunc, addr string, handler Handler) (*Conn, error) {
	nc, err := open(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	c := NewConn(nc, handler)
	go func() { _ = c.Serve() }()
	return c, nil
}
