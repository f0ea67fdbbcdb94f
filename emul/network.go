package emul

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Errors of Network.Dial.
var (
	ErrRefused     = errors.New("connection refused")
	ErrUnreachable = errors.New("no route to host")
)

// Network connects hosts in memory with the latency between their places. It works in
// real and in virtual time and counts bytes.
type Network struct {
	// Latency is the one-way delay between two places.
	Latency func(a, b ident.Place) time.Duration

	mu         sync.Mutex
	hosts      map[ident.Addr]*host
	partitions map[[2]ident.Region]bool
	changed    chan struct{} // closed and replaced when a partition or a pause changes
	total      Traffic
	usage      *usageCounter // nil unless Account was called
}

type host struct {
	place  ident.Place
	accept func(net.Conn)
	conns  map[*pipeConn]struct{}
	paused bool
	bytes  int64 // sent and received
}

// Traffic counts the bytes between regions, by sending and receiving region.
type Traffic struct {
	All   int64
	Links map[[2]ident.Region]int64
	// Updates is the part of Links that consists of messages of fanout and of full states from
	// the store.
	Updates map[[2]ident.Region]int64
}

// NewNetwork returns a Network with a one-way latency of 0.1 ms within a data centre, 0.5 ms
// between data centres and 20 ms between regions.
func NewNetwork() *Network {
	return &Network{
		Latency: func(a, b ident.Place) time.Duration {
			switch a.Distance(b) {
			case 0:
				return 100 * time.Microsecond
			case 1:
				return 500 * time.Microsecond
			default:
				return 20 * time.Millisecond
			}
		},
		hosts: map[ident.Addr]*host{}, partitions: map[[2]ident.Region]bool{}, changed: make(chan struct{}),
		total: Traffic{Links: map[[2]ident.Region]int64{}, Updates: map[[2]ident.Region]int64{}},
	}
}

// Listen makes addr reachable; accept is called with each connection.
func (n *Network) Listen(addr ident.Addr, p ident.Place, accept func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.hosts[addr]
	if !ok {
		h = &host{place: p, conns: map[*pipeConn]struct{}{}}
		n.hosts[addr] = h
	}
	h.accept = accept
}

// Kill closes all connections of addr and refuses new ones.
func (n *Network) Kill(addr ident.Addr) {
	n.mu.Lock()
	h := n.hosts[addr]
	h.accept = nil
	conns := make([]*pipeConn, 0, len(h.conns))
	for c := range h.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Reset closes all connections of addr, which stays reachable.
func (n *Network) Reset(addr ident.Addr) {
	n.mu.Lock()
	conns := make([]*pipeConn, 0, len(n.hosts[addr].conns))
	for c := range n.hosts[addr].conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Pause stops or resumes all traffic of addr without closing its connections.
func (n *Network) Pause(addr ident.Addr, paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[addr].paused = paused
	n.notifyChanged()
}

// Partition stops or resumes all traffic between two regions without closing connections.
func (n *Network) Partition(a, b ident.Region, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]ident.Region{a, b}], n.partitions[[2]ident.Region{b, a}] = partitioned, partitioned
	n.notifyChanged()
}

func (n *Network) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Reachable reports whether traffic from addr can reach the place.
func (n *Network) Reachable(addr ident.Addr, p ident.Place) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.hosts[addr]
	return ok && !h.paused && !n.partitions[[2]ident.Region{h.place.Region, p.Region}]
}

// Bytes returns the bytes that addr has sent and received.
func (n *Network) Bytes(addr ident.Addr) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[addr].bytes
}

// Traffic returns the bytes sent so far.
func (n *Network) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Traffic{All: n.total.All, Links: maps.Clone(n.total.Links), Updates: maps.Clone(n.total.Updates)}
}

// Count adds bytes to Traffic that are sent outside of connections, such as answers of the store.
func (n *Network) Count(from, to ident.Place, bytes int64, update bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.count(from, to, bytes, update)
}

func (n *Network) count(from, to ident.Place, bytes int64, update bool) {
	n.total.All += bytes
	if from.Region != to.Region {
		link := [2]ident.Region{from.Region, to.Region}
		n.total.Links[link] += bytes
		if update {
			n.total.Updates[link] += bytes
		}
	}
}

// Dial opens a connection from one address to another. It blocks while the path is partitioned.
func (n *Network) Dial(ctx context.Context, from, to ident.Addr) (net.Conn, error) {
	for {
		n.mu.Lock()
		src, dst, changed := n.hosts[from], n.hosts[to], n.changed
		partitioned := dst != nil && n.isPartitioned(src, dst)
		n.mu.Unlock()
		if dst == nil {
			return nil, fmt.Errorf("dial %s: %w", to, ErrUnreachable)
		}
		if !partitioned {
			return n.connect(ctx, src, dst, to)
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %s: %w", to, ctx.Err())
		case <-changed:
		}
	}
}

func (n *Network) connect(ctx context.Context, src, dst *host, to ident.Addr) (net.Conn, error) {
	delay := n.Latency(src.place, dst.place)
	t := time.NewTimer(2 * delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("dial %s: %w", to, ctx.Err())
	case <-t.C:
	}
	n.mu.Lock()
	if dst.accept == nil || src.accept == nil {
		n.mu.Unlock()
		return nil, fmt.Errorf("dial %s: %w", to, ErrRefused)
	}
	toPeer, toCaller := newStream(), newStream()
	a := &pipeConn{n: n, own: src, peer: dst, in: toCaller, out: toPeer, delay: delay, name: to, done: make(chan struct{})}
	b := &pipeConn{n: n, own: dst, peer: src, in: toPeer, out: toCaller, delay: delay, name: "caller of " + to, done: make(chan struct{})}
	src.conns[a], dst.conns[b] = struct{}{}, struct{}{}
	accept := dst.accept
	n.mu.Unlock()
	accept(b)
	return a, nil
}

func (n *Network) isPartitioned(a, b *host) bool {
	return a.paused || b.paused || n.partitions[[2]ident.Region{a.place.Region, b.place.Region}]
}

// AddReceived adds bytes that addr received outside of connections to those that Bytes returns.
func (n *Network) AddReceived(addr ident.Addr, bytes int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[addr].bytes += bytes
}
