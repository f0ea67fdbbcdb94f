package demo

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// errPartitioned is returned for a connection between regions that are partitioned.
var errPartitioned = errors.New("regions are partitioned")

// network connects the daemons of a cluster. It counts the bytes that they exchange and
// can partition the regions.
type network struct {
	mu          sync.Mutex
	endpoints   map[ident.Addr]endpoint
	partitioned bool
	crossRegion map[*countedConn]struct{} // open connections between regions

	controlBytes            atomic.Int64
	crossRegionControlBytes atomic.Int64
	crossRegionCallBytes    atomic.Int64
}

// endpoint is the place and the kind of a listening address of a daemon.
type endpoint struct {
	place   ident.Place
	control bool
}

func newNetwork() *network {
	return &network{endpoints: map[ident.Addr]endpoint{}, crossRegion: map[*countedConn]struct{}{}}
}

func (n *network) register(a ident.Addr, p ident.Place, control bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[a] = endpoint{place: p, control: control}
}

// partition separates the regions and closes all connections between them, or reconnects them.
func (n *network) partition(partitioned bool) {
	n.mu.Lock()
	n.partitioned = partitioned
	var open []*countedConn
	if partitioned {
		for c := range n.crossRegion {
			open = append(open, c)
		}
	}
	n.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// dialer returns the dial function of a daemon at p.
func (n *network) dialer(p ident.Place) func(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		n.mu.Lock()
		to := n.endpoints[ident.Addr(addr)]
		remote := p.Distance(to.place) == 2
		partitioned := n.partitioned && remote
		n.mu.Unlock()
		if partitioned {
			return nil, errPartitioned
		}
		nc, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &countedConn{Conn: nc, n: n, crossRegion: remote, control: to.control}
		if remote {
			n.mu.Lock()
			n.crossRegion[c] = struct{}{}
			n.mu.Unlock()
		}
		return c, nil
	}
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	n           *network
	crossRegion bool
	control     bool
}

// Read reads and counts.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.n.mu.Lock()
	delete(c.n.crossRegion, c)
	c.n.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side. The error is errors.ErrUnsupported if the connection
// cannot do that.
func (c *countedConn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return errors.ErrUnsupported
}

func (c *countedConn) count(n int) {
	switch {
	case c.control && c.crossRegion:
		c.n.crossRegionControlBytes.Add(int64(n))
		c.n.controlBytes.Add(int64(n))
	case c.control:
		c.n.controlBytes.Add(int64(n))
	case c.crossRegion:
		c.n.crossRegionCallBytes.Add(int64(n))
	}
}
