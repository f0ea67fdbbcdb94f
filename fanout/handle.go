package fanout

import (
	"context"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Handle processes the messages whose type begins with "fanout.".
func (n *Node) Handle(ctx context.Context, c *wire.Conn, t wire.Type, body []byte) ([]byte, error) {
	switch t {
	case TypeSubscribe:
		return n.onSubscribe(c, body)
	case TypeUpdate:
		return n.onUpdate(body)
	case TypeSnapshot:
		return n.onSnapshot(body)
	case TypePull:
		return n.onPull(ctx, c, body)
	case TypeHeartbeat:
		return n.onBeat(c, body)
	case TypeFloor:
		return n.onFloor(ctx, body)
	default:
		return nil, fmt.Errorf("%w: %s", wire.ErrUnknownType, t)
	}
}

func (n *Node) onSubscribe(c *wire.Conn, body []byte) ([]byte, error) {
	var m Subscribe
	if err := wire.Decode(body, &m); err != nil {
		return nil, err
	}
	n.floors.record(m.Addr, m.Version)
	w := SubscribeReply{Version: n.Version(), Root: n.root.knownRoot(n.deps.Place.Region)}
	others := n.withoutSelf(n.deps.Forwarders())
	serves := n.isForwarder() || n.root.holdsLease() || len(others) == 0 || m.Hops >= maxHops
	if !serves || !n.forwarder.subscribe(c, m) {
		w.Redirect = others
		if len(others) == 0 {
			m.Hops = maxHops
			n.forwarder.subscribe(c, m)
		}
		n.deps.Stats.Inc("Fanout.Redirects")
	} else {
		n.PullIfBehind(c, m.Version)
	}
	return wire.Encode(w)
}

// onUpdate replies with the state held afterwards. If that shows that its update was dropped,
// the sender sends a snapshot next.
func (n *Node) onUpdate(body []byte) ([]byte, error) {
	var d Delta
	if err := wire.Decode(body, &d); err != nil {
		_ = n.deps.Holder.recordCorrupt(err)
	} else {
		_ = n.deps.Holder.ApplyDelta(d) // the Holder counts drops
	}
	return wire.Encode(n.heldState())
}

func (n *Node) onSnapshot(body []byte) ([]byte, error) {
	var s Snapshot
	if err := wire.Decode(body, &s); err != nil {
		_ = n.deps.Holder.recordCorrupt(err)
		return wire.Encode(n.heldState())
	}
	// Decode a state that arrives from two peers at the same time only once.
	n.decodeMu.Lock()
	defer n.decodeMu.Unlock()
	if held := n.deps.Holder.Held(); s.Version < held.Version() || (s.Version == held.Version() && s.Hash == held.Hash()) {
		_ = n.deps.Holder.recordOutdated(s) // skips the needless decoding
		return wire.Encode(n.heldState())
	}
	a, err := s.decodeWithBase(n.deps.Holder.Held())
	if err != nil {
		_ = n.deps.Holder.recordDrop(err)
	} else {
		if n.servesSubscribers() {
			n.forwarder.setReceived(encodedSnapshot{HeldState: HeldState{Version: s.Version, Hash: s.Hash}, body: body})
			defer n.forwarder.setReceived(encodedSnapshot{}) // the state may have been installed from another source
		}
		_ = n.deps.Holder.Install(a)
	}
	return wire.Encode(n.heldState())
}

// onPull sends the state that the peer lacks, through its subscription if there is one,
// otherwise directly.
func (n *Node) onPull(ctx context.Context, c *wire.Conn, body []byte) ([]byte, error) {
	var h HeldState
	if err := wire.Decode(body, &h); err != nil {
		return nil, err
	}
	if h.Version >= n.Version() {
		return nil, nil
	}
	if !n.forwarder.confirm(c, h) {
		// Notifications are handled in order, so the transfer must not block those after it.
		go func() { _, _ = n.forwarder.send(ctx, c, h) }()
	}
	return nil, nil
}

func (n *Node) onBeat(c *wire.Conn, body []byte) ([]byte, error) {
	var b Heartbeat
	if err := wire.Decode(body, &b); err != nil {
		return nil, err
	}
	return wire.Encode(HeartbeatReply{Version: n.HandleHeartbeat(c, b.Addr, b.Version)})
}

func (n *Node) onFloor(ctx context.Context, body []byte) ([]byte, error) {
	var m FloorRequest
	if err := wire.Decode(body, &m); err != nil {
		return nil, err
	}
	f := FloorReply{Root: n.root.knownRoot(n.deps.Place.Region)}
	// Only forwarders and contacts are asked, so that a mass restart costs one read of head per
	// second for each forwarder or contact of a data centre.
	f.Version, f.Head = n.head.get(ctx, n.deps.Store.ReadHead)
	v, reported := n.floors.get(m.Addr)
	f.Version = max(f.Version, v)
	if n.deps.Holder.Serving() {
		f.Version = max(f.Version, n.Version())
	}
	f.Known = reported || f.Head || n.deps.Holder.Serving()
	return wire.Encode(f)
}
