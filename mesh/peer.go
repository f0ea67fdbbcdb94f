package mesh

import (
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/poison"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// State is the state that a backend server reports.
type State string

// The states of a backend server.
const (
	Ready    State = "Ready"
	Draining State = "Draining"
	Gone     State = "Gone"
)

// Server is a backend server as known to the daemon beside it.
type Server struct {
	ID      string
	Service ident.ServiceID
	Slots   int
	State   State
	Born    int64     // process start, Unix milliseconds on the server's clock
	WarmAt  time.Time // end of its warm-up, during which it is slow
}

// Peer is a daemon with its place and the backend server beside it. Life increases each time the daemon
// starts, and Seq with each change of state within a life.
type Peer struct {
	Addr     ident.Addr // address for links
	Place    ident.Place
	Life     ident.Incarnation
	Seq      int64
	Stopping bool
	Server   *Server // nil: none is known
	// Departed holds processes of backend servers that left, other than Server, so that they outlive the daemon.
	// Other daemons add those of its earlier lives.
	Departed []departure `msgpack:",omitempty"`
	// Poisoned holds verdicts at whose crashes its backend server took part, also those that were refuted since, so that
	// they reach all daemons and outlive this one.
	Poisoned []poison.Suspect `msgpack:",omitempty"`
	// StoreLatency is the shortest call to the store that the daemon saw before it wrote its entry; zero: none.
	StoreLatency time.Duration
	// Era is the highest era of the store that the daemon knew. An entry that the store has in a later era is from the
	// copy from which the store was restored, until the daemon writes it again.
	Era store.Era
	// InDoubt means that the daemon, and so its next process, cannot rule out that backend servers left before it started
	// of which nobody knows.
	InDoubt bool `msgpack:",omitempty"`
	// SinceEnd is stated of a daemon's earlier process by a witness: how long ago their link ended; zero: it is no witness.
	SinceEnd time.Duration `msgpack:",omitempty"`
}

// maxPeerSeq bounds Seq, which grows by one with each change of state.
const maxPeerSeq = 1 << 53

// plausible reports whether a daemon can have written p. Its clock may be wrong, but a larger Life could not be exceeded
// by its next one.
func (p *Peer) plausible(now time.Time) bool {
	return p.Life <= ident.NewIncarnation(now.Add(maxClockLead)) && p.Seq <= maxPeerSeq
}

// newer reports whether p is a later state than q of the daemon at the same address.
func (p *Peer) newer(q *Peer) bool {
	if p.Life != q.Life {
		return p.Life > q.Life
	}
	return p.Seq > q.Seq
}

// departures returns the processes of backend servers beside the daemon that left.
func (p *Peer) departures() []departure {
	out := slices.Clone(p.Departed)
	if p.Server != nil && p.Server.State != Ready {
		out = append(out, p.Server.process())
	}
	return out
}

// lacking returns the departures in q that p does not have and that still matter to its backend server. q is
// another state of the daemon at the same address.
func (p *Peer) lacking(q *Peer) []departure {
	known := p.departures()
	return slices.DeleteFunc(q.departures(), func(d departure) bool {
		return slices.ContainsFunc(known, func(k departure) bool { return k.covers(d) }) || (p.Server != nil && d.Born < p.Server.Born)
	})
}

// serves reports whether the peer takes requests for service.
func (p *Peer) serves(service ident.ServiceID) bool {
	return !p.Stopping && p.Server != nil && p.Server.Service == service && p.Server.State == Ready
}
