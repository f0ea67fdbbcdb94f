package guard

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/stats"
)

// closer closes connections that exceed the idle timeout, which may change while they are idle, or the header timeout.
type closer struct {
	listener string // in counters
	timeout  func() time.Duration
	stats    *stats.Set

	mu    sync.Mutex
	conns map[*Conn]struct{} // connections without a request whose head has been read
	open  int                // connections that have not ended
}

// CheckInterval is the time between two checks for connections that have exceeded a timeout.
const CheckInterval = 500 * time.Millisecond

func newCloser(listener string, timeout func() time.Duration, set *stats.Set) *closer {
	return &closer{listener: listener, timeout: timeout, stats: set, conns: map[*Conn]struct{}{}}
}

// connState records when a connection of a listener is opened, becomes idle and is closed. It is the
// http.Server.ConnState hook.
func (cl *closer) connState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch s {
	case http.StateNew:
		cl.open++
		c.startIdle(time.Now(), cl.timeout())
		cl.conns[c] = struct{}{}
	case http.StateIdle:
		c.startIdle(time.Now(), cl.timeout())
		cl.conns[c] = struct{}{}
	case http.StateClosed:
		cl.open--
		delete(cl.conns, c)
	default:
		c.startRequest()
		delete(cl.conns, c)
	}
}

// closeExpired closes the connections that have exceeded the idle timeout or the header timeout.
func (cl *closer) closeExpired(now time.Time) {
	timeout := cl.timeout()
	cl.closeIf(func(c *Conn) bool { return c.expire(now, timeout) })
}

// closeIdle closes the idle connections, and returns the number of connections that have not ended yet.
func (cl *closer) closeIdle() int {
	cl.closeIf((*Conn).expireIdle)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.open
}

func (cl *closer) closeIf(expire func(c *Conn) bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for c := range cl.conns {
		if expire(c) {
			_ = c.Close()
			delete(cl.conns, c)
			if c.isIdle() {
				cl.stats.Inc(cl.listener + ".ClosedIdle")
			} else {
				cl.stats.Inc(cl.listener + ".ClosedInHeader")
			}
		}
	}
}

// evict closes up to n connections on which no request is in progress, and returns their number: first those that never
// had one, the oldest first.
func (cl *closer) evict(n int) int {
	type candidate struct {
		c      *Conn
		since  time.Time
		served bool
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	all := make([]candidate, 0, len(cl.conns))
	for c := range cl.conns {
		since, served := c.age()
		all = append(all, candidate{c, since, served})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.served != b.served {
			if b.served {
				return -1
			}
			return 1
		}
		return a.since.Compare(b.since)
	})
	closed := 0
	for _, o := range all {
		if closed == n {
			break
		}
		if o.c.expireWaiting() {
			_ = o.c.Close()
			delete(cl.conns, o.c)
			closed++
		}
	}
	return closed
}

// withoutRequest returns the number of connections on which no request is in progress, and how many of them have sent a
// part of a header.
func (cl *closer) withoutRequest() (all, heads int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for c := range cl.conns {
		if !c.isIdle() {
			heads++
		}
	}
	return len(cl.conns), heads
}

// run closes expired connections until stop is closed.
func (cl *closer) run(stop <-chan struct{}) {
	t := time.NewTicker(CheckInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-t.C:
			cl.closeExpired(now)
		}
	}
}
