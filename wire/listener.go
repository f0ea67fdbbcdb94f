package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
)

// Listener accepts connections and serves them with one handler.
type Listener struct {
	// AcceptFailed is called when a connection could not be accepted, with the pause until the next attempt; may be nil.
	AcceptFailed func(err error, pause time.Duration)
	// Accepted and Ended are called when a connection has been accepted and when it has ended; nil: not called.
	Accepted, Ended func(c *Conn)
	// Hold holds n bytes for a frame that is being read from c, and reports whether they are available; negative: releases
	// them. If it is set, few requests of a connection are handled concurrently until Trust. It may be nil.
	Hold func(c *Conn, n int64) bool

	ln      net.Listener
	handler Handler
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc

	mu    sync.Mutex
	conns map[*Conn]struct{}
	wg    sync.WaitGroup
}

// NewListener returns a Listener on ln.
func NewListener(ln net.Listener, handler Handler) *Listener {
	l := &Listener{ln: ln, handler: handler, conns: map[*Conn]struct{}{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Addr returns the address of the listener.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// acceptPause and maxAcceptPause bound the pause after a connection could not be accepted, such as at the limit of
// descriptors.
const (
	acceptPause    = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Serve accepts connections until Close. It continues after errors: they concern one connection or pass, and a daemon
// that ended would cut its calls.
func (l *Listener) Serve() error {
	pause := acceptPause
	for {
		nc, err := l.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			if l.AcceptFailed != nil {
				l.AcceptFailed(err, pause)
			}
			if !delay.Sleep(l.ctx, pause) {
				return nil
			}
			pause = min(maxAcceptPause, 2*pause)
			continue
		}
		pause = acceptPause
		c := NewConn(nc, l.handler)
		l.add(c)
	}
}

func (l *Listener) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil { // accepted during Close, which has closed the connections added before
		_ = c.Close()
		return
	}
	l.conns[c] = struct{}{}
	if l.Hold != nil {
		c.hold = l.Hold
		c.restrict()
	}
	if l.Accepted != nil {
		l.Accepted(c)
	}
	l.wg.Go(func() {
		_ = c.Serve()
		if l.Ended != nil {
			l.Ended(c)
		}
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	})
}

// Close stops accepting, closes all connections and waits for them to end.
func (l *Listener) Close() error {
	l.cancel()
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
