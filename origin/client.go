package origin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds a connection to the backend server on the same VM, which takes some 1 ms;
	// a dropped opening packet is repeated after seconds.
	dialTimeout = time.Second
	// idleDefault is how long a connection is kept if the backend server states no idle timeout: below
	// the shortest common keep-alive timeout of HTTP servers, 5 s.
	idleDefault = 4 * time.Second
	// idleMargin is taken from a stated idle timeout, which is in whole seconds and counted at the
	// other side.
	idleMargin = time.Second
	// freshFor is how long a connection may have been idle for a request that must not run twice. One that
	// the backend server has closed meanwhile would leave the outcome unknown.
	freshFor = 500 * time.Millisecond
	// MaxAnswer bounds a response body, in bytes; it has to fit into a frame of 8 MB.
	MaxAnswer = 7 << 20
)

// Deps are the dependencies of a Client.
type Deps struct {
	Addr  string
	Names Names
	Dial  func(ctx context.Context, network, addr string) (net.Conn, error) // nil: TCP
}

// Client sends requests to one backend server. Its methods are safe for concurrent use.
type Client struct {
	d Deps

	mu     sync.Mutex
	idle   []*conn // the one used last is at the end
	closed bool
}

// New returns a Client without connections.
func New(d Deps) *Client {
	if d.Dial == nil {
		d.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{d: d}
}

// Do sends r and returns the whole response. A request that is not idempotent uses only a connection
// that was in use shortly before, or a new one. The end of ctx closes the connection, which tells
// the backend server to stop.
func (c *Client) Do(ctx context.Context, r *Request, idempotent bool) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	limit := freshFor
	if idempotent {
		limit = time.Hour
	}
	cn := c.take(limit)
	if cn == nil {
		var err error
		if cn, err = c.open(ctx); err != nil {
			return nil, err
		}
	}
	resp, err := cn.exchange(ctx, r, c.d.Names)
	if err != nil || !cn.reusable(resp) {
		cn.close()
		return resp, err
	}
	c.put(cn)
	return resp, nil
}

func (c *Client) open(ctx context.Context) (*conn, error) {
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := c.d.Dial(dctx, "tcp", c.d.Addr)
	if err != nil {
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
		}
		return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrRefused, err)
	}
	return newConn(nc), nil
}

// take returns an idle connection that was used within limit; nil if there is none.
func (c *Client) take(limit time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		cn := c.idle[last]
		if now.Sub(cn.since) > limit {
			break // those below were used longer ago
		}
		c.idle = c.idle[:last]
		if now.Sub(cn.since) < cn.keep && cn.wake() {
			return cn
		}
		cn.close()
	}
	for len(c.idle) > 0 && now.Sub(c.idle[0].since) >= c.idle[0].keep {
		c.idle[0].close()
		c.idle = c.idle[1:]
	}
	return nil
}

func (c *Client) put(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		cn.close()
		return
	}
	cn.since = time.Now()
	cn.rest()
	c.idle = append(c.idle, cn)
}

// Close closes the idle connections, and those in use when their requests have ended.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, cn := range c.idle {
		cn.close()
	}
	c.idle = nil
}

// MayHaveRun reports whether a request that failed with err may have run.
func MayHaveRun(err error) bool { return err != nil && !errors.Is(err, ErrNotSent) }
