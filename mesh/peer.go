package mesh

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// State is what a backend server says of itself.
type State string

// The states of a backend server.
const (
	Ready    State = "Ready"
	Draining State = "Draining"
	Gone     State = "Gone"
)

// Server is a backend server as its daemon knows it.
type Server struct {
	ID      string
	Service ident.ServiceID
	Slots   int
	State   State
	Born    int64     // start of its process, Unix milliseconds on its clock
	WarmAt  time.Time // until then it is slow
}

// Peer is a daemon: where it is, and which backend server is beside it. A daemon that starts again has
// a higher Life; within a life, a later state has a higher Seq.
type Peer struct {
	Addr     ident.Addr // for links
	Place    ident.Place
	Life     ident.Incarnation
	Seq      int64
	Stopping bool
	Server   *Server // nil: none is known
}

// newer reports whether p is a later state than q of the daemon at the same address.
func (p *Peer) newer(q *Peer) bool {
	if p.Life != q.Life {
		return p.Life > q.Life
	}
	return p.Seq > q.Seq
}

// serves reports whether the peer takes requests for service.
func (p *Peer) serves(service ident.ServiceID) bool {
	return !p.Stopping && p.Server != nil && p.Server.Service == service && p.Server.State == Ready
}
