package fanout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Node distributes the agreement on one daemon. Every node is a subscriber; depending on its
// rank it is also a forwarder and the root of its region.
type Node struct {
	deps       Deps
	forwarder  *Forwarder
	subscriber *Subscriber
	root       *root
	floors     *floors
	head       headCache

	decodeMu sync.Mutex // held while a snapshot is decoded

	pullMu   sync.Mutex
	lastPull time.Time
}

// New returns a Node. Until Run is called it only handles messages.
func New(deps Deps) *Node {
	deps.Limits = deps.Limits.withDefaults()
	n := &Node{deps: deps, floors: newFloors(), forwarder: NewForwarder(deps.Holder, deps.Limits, deps.Stats, deps.Log)}
	n.subscriber = newSubscriber(n)
	n.root = newRoot(n)
	return n
}

// Run determines the floor, subscribes and takes part in the election of the root until ctx
// ends.
func (n *Node) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { n.startServing(ctx) })
	wg.Go(func() { n.subscriber.run(ctx) })
	wg.Go(func() { n.root.run(ctx) })
	wg.Wait()
	return ctx.Err()
}

// Upstream returns the connection to the upstream, or nil if there is none.
func (n *Node) Upstream() *wire.Conn { return n.subscriber.currentConn() }

// IsRoot reports whether the node believes that it is the root of its region.
func (n *Node) IsRoot() bool { return n.root.holdsLease() }

// Subscribers returns the number of subscribers.
func (n *Node) Subscribers() int { return n.forwarder.Subscribers() }

// Version returns the Version of the held state.
func (n *Node) Version() ident.Version { return n.deps.Holder.Held().Version() }

// RecheckUpstream makes the node check whether its upstream is still the right one.
func (n *Node) RecheckUpstream() { n.subscriber.requestRecheck() }

// HandleHeartbeat records that the daemon at addr, connected through c, holds v. It updates whichever side
// is behind and returns the held Version.
func (n *Node) HandleHeartbeat(c *wire.Conn, addr ident.Addr, v ident.Version) ident.Version {
	n.floors.record(addr, v)
	n.forwarder.handleLag(c, v)
	n.PullIfBehind(c, v)
	return n.Version()
}

// PullIfBehind pulls from the peer on c if v, which the peer holds, is newer than the held Version.
func (n *Node) PullIfBehind(c *wire.Conn, v ident.Version) {
	if v <= n.Version() {
		return
	}
	n.pullMu.Lock()
	defer n.pullMu.Unlock()
	if time.Since(n.lastPull) < confirmTimeout {
		return // an update or an earlier pull is probably in progress
	}
	n.lastPull = time.Now()
	n.deps.Stats.Inc("Fanout.Pulls")
	_ = c.Notify(TypePull, n.heldState())
}

func (n *Node) heldState() HeldState {
	a := n.deps.Holder.Held()
	return HeldState{Version: a.Version(), Hash: a.Hash()}
}

func (n *Node) isForwarder() bool {
	return slices.Contains(n.deps.Forwarders(), n.deps.Addr)
}

// servesSubscribers reports whether the node has subscribers or is expected to get some.
func (n *Node) servesSubscribers() bool {
	return n.isForwarder() || n.root.holdsLease() || n.forwarder.Subscribers() > 0
}

// withoutSelf returns addrs without the node's own address.
func (n *Node) withoutSelf(addrs []ident.Addr) []ident.Addr {
	return slices.DeleteFunc(slices.Clone(addrs), func(a ident.Addr) bool { return a == n.deps.Addr })
}
