package emul

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// limitListener closes connections above a limit immediately after accepting them.
type limitListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

func newLimitListener(ln net.Listener, limit int) *limitListener {
	return &limitListener{Listener: ln, limit: int64(limit)}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, fmt.Errorf("accept: %w", err)
		}
		if l.open.Add(1) > l.limit {
			l.open.Add(-1)
			_ = c.Close()
			continue
		}
		return &limitConn{Conn: c, l: l}, nil
	}
}

type limitConn struct {
	net.Conn
	l    *limitListener
	once sync.Once
}

// Close closes the connection, which no longer counts towards the limit.
func (c *limitConn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}
