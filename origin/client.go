package origin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// dialTimeout limits connecting to the backend server. On the same VM this takes about 1 ms; a lost SYN
	// packet is retransmitted only after seconds.
	dialTimeout = time.Second
	// defaultIdleTimeout is how long a connection is kept if the backend server states no idle timeout. It is
	// below the shortest common keep-alive timeout of HTTP servers, 5 s.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from a stated idle timeout, which is in whole seconds and measured by
	// the server.
	idleTimeoutMargin = time.Second
	// maxIdleNotIdempotent is how long a connection may have been idle to be used for a request that must not
	// run twice. If the backend server had closed the connection meanwhile, the outcome would be unknown.
	maxIdleNotIdempotent = 500 * time.Millisecond
	// MaxResponseBytes is the maximum size of a response body; it has to fit into a frame of 8 MB.
	MaxResponseBytes = 7 << 20
)

// Deps are the dependencies of a Client.
type Deps struct {
	Addr  string
	Names Names
	// Bodies limits the memory of the bodies that are being read; nil: no limit.
	Bodies *BodyBudget
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error) // nil: TCP
}

// Client sends requests to one backend server. Its methods are safe for concurrent use.
type Client struct {
	d Deps

	mu     sync.Mutex
	idle   []*conn // the most recently used one is last
	closed bool
}

// New returns a Client without connections.
func New(d Deps) *Client {
	if d.Dial == nil {
		d.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{d: d}
}

// Do sends r and returns the complete response. For a request that is not idempotent it uses only a new or
// recently used connection, and never one that has carried a request with the same id. When ctx is done, the
// connection is closed, which tells the backend server to stop processing.
func (c *Client) Do(ctx context.Context, r *Request, idempotent bool) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	limit := maxIdleNotIdempotent
	if idempotent {
		limit = time.Hour
	}
	cn := c.takeIdle(limit, r.ID)
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx); err != nil {
			return nil, err
		}
	}
	resp, err := cn.exchange(ctx, r, c.d.Names)
	if err != nil || !cn.reusable(resp) {
		cn.close()
		return resp, err
	}
	c.putIdle(cn)
	return resp, nil
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := c.d.Dial(dctx, "tcp", c.d.Addr)
	if err != nil {
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
		}
		return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrRefused, err)
	}
	return newConn(nc, c.d.Bodies), nil
}

// takeIdle returns an idle connection that was used within limit and has not carried the request id; nil if there is
// none.
func (c *Client) takeIdle(limit time.Duration, id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var carrier *conn // has carried id
	for i := len(c.idle) - 1; i >= 0; i-- {
		cn := c.idle[i]
		if now.Sub(cn.idleSince) > limit {
			break // the remaining ones have been idle for longer
		}
		if cn.carried.has(id) {
			carrier = cn
			continue
		}
		c.idle = slices.Delete(c.idle, i, i+1)
		if now.Sub(cn.idleSince) < cn.idleTimeout && cn.stopIdleRead() {
			return cn
		}
		cn.close()
	}
	if i := slices.Index(c.idle, carrier); i >= 0 {
		// A new connection replaces it. Otherwise many repeats of one request would exceed the backend server's limit
		// of connections.
		carrier.close()
		c.idle = slices.Delete(c.idle, i, i+1)
	}
	for len(c.idle) > 0 && now.Sub(c.idle[0].idleSince) >= c.idle[0].idleTimeout {
		c.idle[0].close()
		c.idle = c.idle[1:]
	}
	return nil
}

func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		cn.close()
		return
	}
	cn.idleSince = time.Now()
	cn.startIdleRead()
	c.idle = append(c.idle, cn)
}

// Close closes the idle connections. Connections in use are closed when their requests have ended.
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
