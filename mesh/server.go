package mesh

import (
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Heartbeat is the state that a backend server reports.
type Heartbeat struct {
	ID      string
	Service ident.ServiceID
	Addr    string // address for requests
	Slots   int
	State   State
	Seq     int64 // increases during the lifetime of its process
	Started int64 // process start, Unix milliseconds on the server's clock; zero: not stated
	WarmUp  time.Duration
}

// localServer is the backend server beside this daemon. It is guarded by Node.mu.
type localServer struct {
	Server
	addr    string
	seq     int64
	leaving bool // reported that it is draining or gone; final for this process
	client  *origin.Client
}

// HandleHeartbeat applies a heartbeat of the backend server beside the daemon. The reported state is in force when
// HandleHeartbeat returns. An invalid heartbeat returns an error.
func (n *Node) HandleHeartbeat(h Heartbeat) error {
	if h.ID == "" || h.Service == "" || h.Addr == "" || h.Slots <= 0 {
		return fmt.Errorf("heartbeat of %q lacks id, service, address or slots", h.ID)
	}
	n.mu.Lock()
	cur := n.server
	switch {
	case cur != nil && cur.ID != h.ID && h.Started < cur.Born,
		cur != nil && cur.ID == h.ID && h.Started < cur.Born,
		cur != nil && cur.ID == h.ID && h.Started == cur.Born && h.Seq <= cur.seq:
		n.mu.Unlock()
		n.d.Stats.Inc("Server.HeartbeatLate")
		return nil // from an earlier process, or out of order
	}
	fresh := cur == nil || cur.ID != h.ID || cur.Born != h.Started
	next := &localServer{
		Server: Server{ID: h.ID, Service: h.Service, Slots: h.Slots, State: h.State, Born: h.Started, WarmAt: n.d.Now().Add(h.WarmUp)},
		addr:   h.Addr, seq: h.Seq,
	}
	if fresh {
		next.client = n.newClient(h.Addr)
		if cur != nil {
			cur.client.Close()
		}
	} else {
		next.client, next.leaving = cur.client, cur.leaving
	}
	next.leaving = next.leaving || h.State == Draining || n.hasDeparted(&next.Server)
	if next.leaving {
		next.State = Draining
	}
	changed := fresh || cur.State != next.State || cur.Slots != next.Slots
	n.server = next
	n.mu.Unlock()
	n.applyServer(next, fresh, changed)
	return nil
}

// ServerLeft handles the report of the backend server id that it is leaving: it receives no further requests.
// Reports from a process started before the current one are ignored; a zero born is not checked.
func (n *Node) ServerLeft(id string, born int64) {
	n.mu.Lock()
	cur := n.server
	if cur == nil || cur.ID != id || (born != 0 && born < cur.Born) || cur.State == Gone {
		n.mu.Unlock()
		return
	}
	next := *cur
	next.leaving, next.State = true, Gone
	n.server = &next
	n.mu.Unlock()
	n.applyServer(&next, false, true)
}

// hasDeparted reports whether s is the process that had left before this daemon started. The caller holds n.mu.
func (n *Node) hasDeparted(s *Server) bool {
	return n.departed != nil && n.departed.ID == s.ID && n.departed.Born == s.Born
}

// rememberDeparture applies the state that the store or another daemon has of this daemon's earlier process. A
// backend server that had left may have sent a heartbeat before, which arrives only now.
func (n *Node) rememberDeparture(earlier Peer) {
	n.mu.Lock()
	if earlier.Life >= n.incarnation || earlier.Server == nil || earlier.Server.State == Ready {
		n.mu.Unlock()
		return
	}
	if n.departed == nil || n.departed.Born <= earlier.Server.Born {
		n.departed = earlier.Server
	}
	cur := n.server
	if cur == nil || cur.leaving || !n.hasDeparted(&cur.Server) {
		n.mu.Unlock()
		return
	}
	next := *cur
	next.leaving, next.State = true, n.departed.State
	n.server = &next
	n.mu.Unlock()
	n.applyServer(&next, false, true)
}

func (n *Node) applyServer(s *localServer, fresh, changed bool) {
	if fresh {
		n.slots.Restart()
	}
	if s.State == Ready {
		n.slots.Open(s.Slots)
	} else {
		n.slots.Close(refuse.NotRun(refuse.Draining, "the backend server is leaving"))
	}
	if changed {
		n.d.Log.Emit(event.BackendChanged, "Server", s.ID, "Service", s.Service, "State", s.State, "Slots", s.Slots, "Seq", s.seq, "Born", s.Born)
		n.publish()
	}
}

func (n *Node) newClient(addr string) *origin.Client {
	return origin.New(origin.Deps{Addr: addr, Names: n.d.Names, Dial: n.d.Dial, Bodies: n.bodies})
}

// currentServer returns the backend server beside the daemon; nil if none is known.
func (n *Node) currentServer() *localServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server
}
