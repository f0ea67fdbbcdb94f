package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

const (
	dialTimeout = 2 * time.Second
	// hopDialTimeout limits the time to connect to another daemon. A VM that has just gone
	// down does not answer, and a call that waits for it until its deadline fails although
	// other servers are available. The limit is twelve round trips between regions. A lost
	// first packet, which TCP resends after 1 s, costs a further attempt.
	hopDialTimeout = 500 * time.Millisecond
	// HopIdleTimeout is below the idle timeout of a daemon's HTTP server, so that the
	// client closes first and no request is written to a connection that is being closed.
	HopIdleTimeout  = 30 * time.Second
	maxIdleHopConns = 256 // per daemon and class
	// backendIdleTimeout is below the shortest common keep-alive timeout of HTTP servers, 5 s.
	backendIdleTimeout = 4 * time.Second
)

// pool keeps separate connections for short and long calls, so that a long response never
// occupies a connection that a short call needs.
type pool struct {
	short, long *http.Transport
	repeatsIDs  atomic.Bool // an answer had the id of its call
}

func (p *pool) of(c agree.Class) *http.Transport {
	if c == agree.Long {
		return p.long
	}
	return p.short
}

func (p *pool) closeIdle() {
	p.short.CloseIdleConnections()
	p.long.CloseIdleConnections()
}

func dialer(d DialFunc) DialFunc {
	if d == nil {
		d = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return trackConns(d)
}

// withTimeout returns d with a limit on the time to connect.
func withTimeout(limit time.Duration, d DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return d(ctx, network, addr)
	}
}

func newTransport(d DialFunc, idleTimeout time.Duration, maxConns, maxIdle int) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            d,
		Protocols:              &protocols,
		DisableCompression:     true, // bodies are forwarded unchanged
		MaxConnsPerHost:        maxConns,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  agree.MaxTimeout, // the target answers or sends 100 Continue before the deadline
		MaxResponseHeaderBytes: 256 << 10,
		WriteBufferSize:        8 << 10,
		ReadBufferSize:         8 << 10,
	}
}

// newHopPool returns a pool without a connection limit.
func newHopPool(d DialFunc, idleTimeout time.Duration) *pool {
	return &pool{
		short: newTransport(d, idleTimeout, 0, maxIdleHopConns),
		long:  newTransport(d, idleTimeout, 0, maxIdleHopConns),
	}
}

// newBackendPool returns the pool for a backend server with the given connection limit. Long
// calls get a third of the connections.
func newBackendPool(d DialFunc, limit int) *pool {
	if limit <= 0 {
		return newHopPool(d, backendIdleTimeout)
	}
	if limit == 1 {
		t := newTransport(d, backendIdleTimeout, 1, 1)
		return &pool{short: t, long: t}
	}
	usable := limit - connMargin(limit)
	long := max(1, usable/3)
	return &pool{
		short: newTransport(d, backendIdleTimeout, usable-long, usable-long),
		long:  newTransport(d, backendIdleTimeout, long, long),
	}
}

// connMargin is the part of a connection limit that stays unused: a backend server notices a
// closed connection later than this side does, and refuses connections above its limit.
func connMargin(limit int) int {
	if limit < 4 {
		return 0
	}
	return (limit + 15) / 16
}
