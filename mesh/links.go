package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/guard"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/route"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

const (
	// linkDialTimeout limits connecting to another daemon to ten round trips between regions. A VM that has
	// just been removed does not answer at all.
	linkDialTimeout = 400 * time.Millisecond
	// linkRecent is the age of the last frame, plus ten round trips, up to which a call is sent without a ping before
	// it. A VM that loses power does not close its links, so that all calls sent to it later would be lost.
	linkRecent = 150 * time.Millisecond
	// quotaStop is the longest time for which a processor quota stops a daemon that works. A ping may take as long,
	// and two round trips.
	quotaStop = 100 * time.Millisecond
	// silentLinkGrace is the time after which a silent link that has been replaced is closed, if no call waits on it.
	silentLinkGrace = 10 * time.Second
)

// links holds the connections that this daemon opened to others.
type links struct {
	mu   sync.Mutex
	open map[ident.Addr]*pendingLink
}

// pendingLink is a link that is open or being opened. done is closed when the dial has finished.
type pendingLink struct {
	done chan struct{}
	conn *link.Conn
	err  error
}

// send sends r to the daemon at addr. An error that wraps link.ErrNotSent means that the request did not run
// there. onSilent is called if the link becomes silent; nil: nothing is.
func (n *Node) send(ctx context.Context, addr ident.Addr, r *request, onSilent func()) (*reply, error) {
	if addr == n.d.Self {
		return n.run(ctx, r, nil), nil
	}
	body, err := wire.Encode(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", link.ErrNotSent, err)
	}
	c, err := n.linkTo(ctx, addr)
	if err != nil {
		return nil, err
	}
	if rtt := n.roundTrip(addr); !c.Confirm(ctx, linkRecent+10*rtt, quotaStop+2*rtt) {
		n.d.Stats.Inc("Link.Unconfirmed")
		return nil, fmt.Errorf("%w: %w", link.ErrNotSent, errUnconfirmed)
	}
	b, err := c.Call(ctx, body, onSilent)
	if err != nil {
		return nil, err
	}
	var out reply
	if err := wire.Decode(b, &out); err != nil || out.Outcome == 0 {
		return nil, fmt.Errorf("%w: reply: %w", link.ErrLost, errors.Join(err, errNoOutcome))
	}
	n.observeVersion(out.Version)
	if out.Outcome == answered && !origin.IsFinalStatus(out.Status) {
		n.d.Stats.Inc("Link.InvalidStatus")
		return nil, fmt.Errorf("%w: reply: %w: %d", link.ErrLost, errInvalidStatus, out.Status)
	}
	return &out, nil
}

var (
	errNoOutcome     = errors.New("no outcome")
	errInvalidStatus = errors.New("status is none of HTTP")
	errUnconfirmed   = errors.New("the daemon does not answer a ping")
)

// roundTrip returns the usual network round trip to the daemon at addr.
func (n *Node) roundTrip(addr ident.Addr) time.Duration {
	p, ok := n.peers.get(addr)
	if !ok {
		p.Place = n.d.Place
	}
	return route.RoundTrip(n.d.Place, p.Place)
}

// mayHaveRun reports whether a request that failed with err may have reached a backend server.
func mayHaveRun(err error) bool { return !errors.Is(err, link.ErrNotSent) }

// linkTo returns a link to addr that is not silent, and opens one if necessary.
func (n *Node) linkTo(ctx context.Context, addr ident.Addr) (*link.Conn, error) {
	n.links.mu.Lock()
	o := n.links.open[addr]
	if o != nil && o.conn != nil && o.conn.Silent() {
		closeUnused(o.conn)
		o = nil
	}
	if o == nil {
		o = &pendingLink{done: make(chan struct{})}
		n.links.open[addr] = o
		go n.dial(addr, o)
	}
	n.links.mu.Unlock()
	select {
	case <-o.done:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", link.ErrNotSent, ctx.Err())
	}
	if o.err != nil {
		return nil, fmt.Errorf("%w: %w", link.ErrNotSent, o.err)
	}
	return o.conn, nil
}

// closeUnused closes a silent link after silentLinkGrace, or later if calls still wait on it: the other daemon may only have
// been slow, and may have calls that take long.
func closeUnused(c *link.Conn) {
	time.AfterFunc(silentLinkGrace, func() {
		if c.Waiting() > 0 {
			closeUnused(c)
			return
		}
		c.Close()
	})
}

// dial opens the link of o and serves it until it is closed.
func (n *Node) dial(addr ident.Addr, o *pendingLink) {
	ctx, cancel := context.WithTimeout(n.ctx, linkDialTimeout)
	nc, err := n.d.Dial(ctx, "tcp", string(addr))
	cancel()
	var c *link.Conn
	if err == nil {
		c = link.New(nc, n.handlers())
		n.openConn(c) // before others can use the link, so that its first notice names this daemon
	}
	n.links.mu.Lock()
	o.conn, o.err = c, err
	if err != nil && n.links.open[addr] == o {
		delete(n.links.open, addr)
	}
	close(o.done)
	n.links.mu.Unlock()
	if err != nil {
		return
	}
	n.serveOpened(c)
	n.links.mu.Lock()
	last := n.links.open[addr] == o
	if last {
		delete(n.links.open, addr)
	}
	n.links.mu.Unlock()
	if last {
		n.reconnect(addr)
	}
}

const (
	// reconnectAttempts and reconnectPause limit how long a daemon is redialled after its link has closed. A
	// daemon that restarts while the store is unavailable learns of the others only through their links.
	reconnectAttempts = 12
	reconnectPause    = 500 * time.Millisecond
)

// reconnect reopens the link to a daemon that is still known.
func (n *Node) reconnect(addr ident.Addr) {
	for range reconnectAttempts {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(reconnectPause/2 + time.Duration(n.d.Random()*float64(reconnectPause))):
		}
		if _, ok := n.peers.get(addr); !ok {
			return
		}
		if _, err := n.linkTo(n.ctx, addr); err == nil {
			n.board.ClearPause(addr)
			return
		}
	}
}

// newUnidentifiedLinks returns the limits of accepted links whose daemon has not sent its state.
func newUnidentifiedLinks(d Deps) *guard.Links[*link.Conn] {
	return guard.NewLinks(guard.LinksConfig[*link.Conn]{
		Name: "Links", Most: d.Config.MaxUnidentified, FrameMemory: d.Config.FrameMemory,
		Close: (*link.Conn).Close, From: func(c *link.Conn) string { return c.RemoteAddr().String() },
	}, d.Log, d.Stats)
}

func (n *Node) handlers() link.Handlers {
	return link.Handlers{
		Ranked: n.handleRanked, Notice: n.handleNotice, Busy: n.encodeReply("", tooManyCalls()), Queued: n.requests.Add, Pacer: n.pacer,
		Hold: n.unidentified.Hold,
	}
}

// tooManyCalls returns the reply to a call of a daemon that has too many in progress here.
func tooManyCalls() *reply {
	return rejection(refuse.NotRun(refuse.QueueFull, "the daemon handles too many calls of another one"))
}

// openConn records an open link and sends this daemon's state over it.
func (n *Node) openConn(c *link.Conn) {
	n.addConn(c)
	n.sendHello(c)
}

// serveLink opens a link and serves it until it is closed.
func (n *Node) serveLink(c *link.Conn) {
	n.openConn(c)
	n.serveOpened(c)
}

// serveOpened serves an open link until it is closed.
func (n *Node) serveOpened(c *link.Conn) {
	err := c.Serve() // the other daemon may have stopped
	n.unidentified.Remove(c)
	n.recordEnd(c, err)
	n.removeConn(c)
	n.subs.removeLink(c)
}

// addConn records an open link.
func (n *Node) addConn(c *link.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = ""
}

// removeConn forgets a closed link. Its daemon counts as linked while another link to it is open, whichever of the
// two daemons opened that.
func (n *Node) removeConn(c *link.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if addr, ok := n.conns[c]; ok {
		delete(n.conns, c)
		n.countLink(addr, -1)
	}
}

// identifyConn records the daemon at the other end of a link.
func (n *Node) identifyConn(c *link.Conn, addr ident.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old, ok := n.conns[c]; ok && old != addr {
		n.conns[c] = addr
		n.countLink(addr, 1)
		n.countLink(old, -1)
	}
}

// countLink adds d to the number of open links to the daemon at addr; an empty addr is not known yet. The caller holds
// n.mu.
func (n *Node) countLink(addr ident.Addr, d int) {
	if addr == "" {
		return
	}
	n.linkCount[addr] += d
	if n.linkCount[addr] == 0 {
		delete(n.linkCount, addr)
		n.peers.clearLinked(addr)
	}
}

// acceptPause and maxAcceptPause bound the pause after a link could not be accepted, such as at the limit of
// descriptors.
const (
	acceptPause    = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// ServeLinks accepts links from other daemons until the listener is closed. It continues after any other error: if the
// daemon ended, its calls would be cut, and it can serve them over the links that it has.
func (n *Node) ServeLinks(ln net.Listener) {
	pause := acceptPause
	for {
		nc, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			n.d.Log.Emit(event.LinkNotAccepted, "Error", err, "Pause", pause)
			if !delay.Sleep(n.ctx, pause) {
				return
			}
			pause = min(maxAcceptPause, 2*pause)
			continue
		}
		pause = acceptPause
		c := link.New(nc, n.handlers())
		n.unidentified.Add(c)
		go n.serveLink(c)
	}
}

// unreachableRefusal returns the refusal used while the backend server accepts no connection.
func unreachableRefusal() *refuse.Refusal {
	return refuse.NotRun(refuse.NoServer, "the backend server accepts no connection")
}
