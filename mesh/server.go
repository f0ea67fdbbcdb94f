package mesh

import (
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Heartbeat is what a backend server says of itself.
type Heartbeat struct {
	ID      string
	Service ident.ServiceID
	Addr    string // where it takes requests
	Slots   int
	State   State
	Seq     int64 // increases within the life of its process
	Born    int64 // start of its process, Unix milliseconds on its clock; zero: not stated
	Cold    time.Duration
}

// local is the backend server beside this daemon. It is guarded by Node.mu.
type local struct {
	Server
	addr   string
	seq    int64
	left   bool // said that it leaves; it never returns in this life
	client *origin.Client
}

// Heard takes a heartbeat of the backend server beside the daemon. What it says binds from the return on.
// The error says why a heartbeat is not taken.
func (n *Node) Heard(h Heartbeat) error {
	if h.ID == "" || h.Service == "" || h.Addr == "" || h.Slots <= 0 {
		return fmt.Errorf("heartbeat of %q lacks id, service, address or slots", h.ID)
	}
	n.mu.Lock()
	cur := n.server
	switch {
	case cur != nil && cur.ID != h.ID && h.Born < cur.Born,
		cur != nil && cur.ID == h.ID && h.Born < cur.Born,
		cur != nil && cur.ID == h.ID && h.Born == cur.Born && h.Seq <= cur.seq:
		n.mu.Unlock()
		n.d.Stats.Inc("Server.HeartbeatLate")
		return nil // of an earlier process, or overtaken by a later one
	}
	fresh := cur == nil || cur.ID != h.ID || cur.Born != h.Born
	next := &local{
		Server: Server{ID: h.ID, Service: h.Service, Slots: h.Slots, State: h.State, Born: h.Born, WarmAt: n.d.Now().Add(h.Cold)},
		addr:   h.Addr, seq: h.Seq,
	}
	if fresh {
		next.client = n.newClient(h.Addr)
		if cur != nil {
			cur.client.Close()
		}
	} else {
		next.client, next.left = cur.client, cur.left
	}
	next.left = next.left || h.State == Draining
	if next.left {
		next.State = Draining
	}
	changed := fresh || cur.State != next.State || cur.Slots != next.Slots
	n.server = next
	n.mu.Unlock()
	n.applyServer(next, fresh, changed)
	return nil
}

// Left takes the word of the backend server id that it leaves. It gets no further requests. That of a
// process born before the present one is of no effect; zero: not stated.
func (n *Node) Left(id string, born int64) {
	n.mu.Lock()
	cur := n.server
	if cur == nil || cur.ID != id || (born != 0 && born < cur.Born) || cur.State == Gone {
		n.mu.Unlock()
		return
	}
	next := *cur
	next.left, next.State = true, Gone
	n.server = &next
	n.mu.Unlock()
	n.applyServer(&next, false, true)
}

func (n *Node) applyServer(s *local, fresh, changed bool) {
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
	return origin.New(origin.Deps{Addr: addr, Names: n.d.Names, Dial: n.d.Dial})
}

// beside returns the backend server beside the daemon; nil if none is known.
func (n *Node) beside() *local {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server
}
