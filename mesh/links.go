package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

const (
	// linkTimeout bounds the connection to another daemon: ten round trips between regions. A VM that
	// has just gone answers nothing.
	linkTimeout = 400 * time.Millisecond
	// retireAfter is how long a silent link stays open for calls that must not be repeated.
	retireAfter = 10 * time.Second
)

// links are the connections that this daemon opened to others.
type links struct {
	mu   sync.Mutex
	open map[ident.Addr]*opening
}

// opening is a link, or the attempt to open one that callers wait for.
type opening struct {
	done chan struct{}
	conn *link.Conn
	err  error
}

// send passes r to the daemon at addr. The error is a *link error: link.ErrNotSent means that it did
// not run there.
func (n *Node) send(ctx context.Context, addr ident.Addr, r *request) (*reply, error) {
	if addr == n.d.Self {
		return n.run(ctx, r), nil
	}
	body, err := wire.Encode(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", link.ErrNotSent, err)
	}
	c, err := n.linkTo(ctx, addr)
	if err != nil {
		return nil, err
	}
	b, err := c.Call(ctx, body, !r.Idempotent)
	if err != nil {
		return nil, err
	}
	var out reply
	if err := wire.Decode(b, &out); err != nil || out.Outcome == 0 {
		return nil, fmt.Errorf("%w: reply: %w", link.ErrLost, errors.Join(err, errNoOutcome))
	}
	n.noticeVersion(out.Version)
	return &out, nil
}

var errNoOutcome = errors.New("no outcome")

// mayHaveRun reports whether a request whose sending failed with err may have reached a backend server.
func mayHaveRun(err error) bool { return !errors.Is(err, link.ErrNotSent) }

// linkTo returns a link to addr that is not silent.
func (n *Node) linkTo(ctx context.Context, addr ident.Addr) (*link.Conn, error) {
	n.links.mu.Lock()
	o := n.links.open[addr]
	if o != nil && o.conn != nil && o.conn.Silent() {
		time.AfterFunc(retireAfter, o.conn.Close)
		o = nil
	}
	if o == nil {
		o = &opening{done: make(chan struct{})}
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

// dial opens the link of o and serves it until it ends.
func (n *Node) dial(addr ident.Addr, o *opening) {
	ctx, cancel := context.WithTimeout(n.ctx, linkTimeout)
	nc, err := n.d.Dial(ctx, "tcp", string(addr))
	cancel()
	n.links.mu.Lock()
	if err != nil {
		o.err = err
	} else {
		o.conn = link.New(nc, n.handlers())
	}
	if err != nil && n.links.open[addr] == o {
		delete(n.links.open, addr)
	}
	close(o.done)
	n.links.mu.Unlock()
	if err != nil {
		return
	}
	n.serveLink(o.conn)
	n.links.mu.Lock()
	last := n.links.open[addr] == o
	if last {
		delete(n.links.open, addr)
	}
	n.links.mu.Unlock()
	if last {
		n.roster.unlinked(addr, n.synced.Load())
		n.relink(addr)
	}
}

const (
	// relinkTries and relinkPause bound the search for a daemon whose link has ended. One that starts again
	// while the store is away learns of the others only by their links.
	relinkTries = 12
	relinkPause = 500 * time.Millisecond
)

// relink opens the link to a daemon again that is still listed.
func (n *Node) relink(addr ident.Addr) {
	for range relinkTries {
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(relinkPause/2 + time.Duration(n.d.Random()*float64(relinkPause))):
		}
		if _, ok := n.roster.get(addr); !ok {
			return
		}
		if _, err := n.linkTo(n.ctx, addr); err == nil {
			n.board.Forget(addr)
			return
		}
	}
}

func (n *Node) handlers() link.Handlers {
	return link.Handlers{Call: n.handle, Notice: n.heardNotice}
}

// serveLink serves a link in either direction until it ends.
func (n *Node) serveLink(c *link.Conn) {
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	n.greet(c)
	_ = c.Serve() // the reason of its end is of no use: the other daemon may be gone
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	n.readers.ended(c)
}

// ServeLinks takes links of other daemons until the listener is closed.
func (n *Node) ServeLinks(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept links: %w", err)
		}
		go n.serveLink(link.New(nc, n.handlers()))
	}
}

// unreachableRefusal is why requests are not taken while the backend server accepts no connection.
func unreachableRefusal() *refuse.Refusal {
	return refuse.NotRun(refuse.NoServer, "the backend server accepts no connection")
}
