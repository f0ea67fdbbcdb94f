package fanout

import (
	"context"
	"slices"
	"sync"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// startServing asks for the floor until it is known, then opens the Holder.
func (n *Node) startServing(ctx context.Context) {
	d := newBackoffDelays(n.deps.Jitter, retryInitialDelay, retryMaxDelay)
	for warned := false; ; {
		if floor, ok := n.askFloor(ctx); ok {
			n.deps.Holder.RaiseFloor(floor)
			n.deps.Holder.AllowServing()
			n.deps.Log.Emit(event.FloorKnown, "Floor", floor)
			return
		}
		if !warned {
			warned = true
			n.deps.Log.Emit(event.FloorUnknown)
		}
		if !d.wait(ctx) {
			return
		}
	}
}

// askFloor returns the lowest Version that this address may serve. It returns false if no peer
// knows and head cannot be read. It asks all peers, since a lagging one may not know a Version
// that another has sent to this address. The peers read head from the store; this daemon does so
// only if it is a forwarder or no peer responds.
func (n *Node) askFloor(ctx context.Context) (ident.Version, bool) {
	peers := n.withoutSelf(slices.Concat(n.deps.Forwarders(), n.deps.Contacts(), addrList(n.root.knownRoot(n.deps.Place.Region))))
	slices.Sort(peers)
	peers = slices.Compact(peers)
	replies := n.requestFloors(ctx, peers)
	var root ident.Addr
	for _, f := range replies {
		if f.Root != "" && f.Root != n.deps.Addr && !slices.Contains(peers, f.Root) {
			root = f.Root
		}
	}
	if root != "" {
		n.root.setUnconfirmed(root)
		replies = append(replies, n.requestFloors(ctx, []ident.Addr{root})...)
	}
	var floor ident.Version
	known, head := false, false
	for _, f := range replies {
		known, head = known || f.Known, head || f.Head
		floor = max(floor, f.Version)
	}
	if head || (len(replies) > 0 && !n.isForwarder()) {
		return floor, known
	}
	if v, ok := n.head.get(ctx, n.deps.Store.ReadHead); ok {
		return max(floor, v), true
	}
	return floor, known
}

// requestFloors returns the replies that arrive within callTimeout.
func (n *Node) requestFloors(ctx context.Context, addrs []ident.Addr) []FloorReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var (
		mu  sync.Mutex
		out []FloorReply
		wg  sync.WaitGroup
	)
	for _, a := range addrs {
		wg.Go(func() {
			f, err := n.requestFloor(ctx, a)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, f)
		})
	}
	wg.Wait()
	return out
}

func (n *Node) requestFloor(ctx context.Context, addr ident.Addr) (FloorReply, error) {
	c, err := n.deps.Dial(ctx, addr)
	if err != nil {
		return FloorReply{}, err
	}
	defer func() { _ = c.Close() }()
	var f FloorReply
	err = c.Call(ctx, TypeFloor, FloorRequest{Addr: n.deps.Addr, Place: n.deps.Place}, &f)
	return f, err
}
