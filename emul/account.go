package emul

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Kind classifies the traffic of one host. An answer has the type of its request.
type Kind struct {
	Type     wire.Type
	Answer   bool
	Sent     bool
	Distance int // to the peer, as given by ident.Place.Distance
}

// Usage counts the bytes and messages of one kind of traffic.
type Usage struct {
	Kind
	Bytes    int64
	Messages int64
}

// usageCounter counts the traffic of each host by kind. Network.mu must be held.
type usageCounter struct {
	hosts   map[*host]map[Kind]Usage
	pending map[request]wire.Type
}

// request identifies a request that has not been answered, by its sender's end of the
// connection.
type request struct {
	conn *stream
	id   uint64
}

// Account starts counting the traffic of each host by kind. Counting is off by default, as it
// takes CPU time.
func (n *Network) Account() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.usage = &usageCounter{hosts: map[*host]map[Kind]Usage{}, pending: map[request]wire.Type{}}
}

// Usage returns the traffic of addr by kind since Account, the largest first.
func (n *Network) Usage(addr ident.Addr) []Usage {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Usage
	if n.usage == nil {
		return nil
	}
	for _, u := range n.usage.hosts[n.hosts[addr]] {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.String(), b.String()))
	})
	return out
}

// String describes the kind in one line.
func (k Kind) String() string {
	message, direction := "request", "received"
	if k.Answer {
		message = "answer"
	}
	if k.Sent {
		direction = "sent"
	}
	return fmt.Sprintf("%s %s %s, distance %d", k.Type, message, direction, k.Distance)
}

// add counts a frame of the given size that c writes.
func (a *usageCounter) add(c *pipeConn, f frame, size int) {
	switch {
	case f.Reply:
		req := request{c.in, f.ID}
		f.Type = a.pending[req]
		delete(a.pending, req)
	case f.ID != 0:
		a.pending[request{c.out, f.ID}] = f.Type
	}
	k := Kind{Type: f.Type, Answer: f.Reply, Distance: c.own.place.Distance(c.peer.place)}
	a.count(c.peer, k, size)
	k.Sent = true
	a.count(c.own, k, size)
}

func (a *usageCounter) count(h *host, k Kind, bytes int) {
	if a.hosts[h] == nil {
		a.hosts[h] = map[Kind]Usage{}
	}
	u := a.hosts[h][k]
	a.hosts[h][k] = Usage{Kind: k, Bytes: u.Bytes + int64(bytes), Messages: u.Messages + 1}
}
