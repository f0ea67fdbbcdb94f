package mesh

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// localServer is the backend server beside this daemon. It is guarded by Node.mu.
type localServer struct {
	Server
	addr    string
	seq     int64
	leaving bool      // reported that it is draining or gone; final for this process
	heard   time.Time // when its last heartbeat came, on the steady clock
	client  *origin.Client
}

// HandleHeartbeat applies a heartbeat of the backend server beside the daemon. The reported state is in force when
// HandleHeartbeat returns, unless the server may have left before the daemon started (see believes). An invalid heartbeat
// returns an error.
func (n *Node) HandleHeartbeat(h Heartbeat) error {
	if err := n.checkHeartbeat(&h); err != nil {
		return err
	}
	n.awaitOwnEntry()
	now := time.Now()
	n.mu.Lock()
	cur := n.server
	late := cur != nil && (h.Started < cur.Born || (cur.ID == h.ID && h.Started == cur.Born && h.Seq <= cur.seq))
	if late && !n.displaced.heard(&h, cur, now) {
		n.mu.Unlock()
		n.d.Stats.Inc("Server.HeartbeatLate")
		return nil // from an earlier process, or out of order
	}
	fresh := cur == nil || cur.ID != h.ID || cur.Born != h.Started
	if fresh && !n.believes(&h, now) {
		n.mu.Unlock()
		n.d.Stats.Inc("Server.Unconfirmed")
		return nil
	}
	if late {
		n.d.Stats.Inc("Server.Restored")
		n.d.Log.Emit(event.BackendRestored, "Server", h.ID, "Born", h.Started, "Displaced", cur.ID, "DisplacedBorn", cur.Born)
	}
	n.displaced = displacedServer{}
	next := &localServer{
		Server: Server{ID: h.ID, Service: h.Service, Slots: h.Slots, State: h.State, Born: h.Started, WarmAt: n.d.Now().Add(h.WarmUp)},
		addr:   h.Addr, seq: h.Seq, heard: now,
	}
	if fresh {
		next.client = n.newClient(h.Addr)
		if cur != nil {
			cur.client.Close()
			if cur.leaving {
				_, _ = n.departures.add(cur.process()) // fails only if there are many of processes without a heartbeat
			}
		}
		n.departures.removeBefore(h.Started)
	} else {
		next.client, next.leaving = cur.client, cur.leaving
	}
	next.leaving = next.leaving || h.State == Draining || n.departures.has(next.process())
	if next.leaving {
		next.State = Draining
	} else {
		n.doubt = noDoubt
	}
	changed := fresh || cur.State != next.State || cur.Slots != next.Slots
	n.server = next
	n.mu.Unlock()
	n.applyServer(next, fresh, changed)
	return nil
}

// ServerLeft handles the report of the backend server id that its process started at born is leaving: the process
// receives no further requests, even if its first heartbeat arrives later. A zero born means that the start is not
// stated, and that each process of id that has started so far is gone. The report is in force when ServerLeft returns;
// one that cannot be kept returns an error.
func (n *Node) ServerLeft(id string, born int64) error {
	if err := n.checkStart(born); err != nil {
		return err
	}
	n.mu.Lock()
	cur := n.server
	if born != 0 && cur != nil && born < cur.Born {
		n.mu.Unlock()
		n.d.Stats.Inc("Server.LeaveLate")
		return nil // its heartbeats are ignored
	}
	left := departure{ID: id, Born: born}
	if born == 0 {
		left.Born, left.Earlier = n.d.Now().UnixMilli(), true
	}
	added, err := n.departures.add(left)
	if cur == nil || cur.ID != id || (err != nil && born > cur.Born) {
		n.mu.Unlock()
		if added {
			n.d.Log.Emit(event.BackendChanged, "Server", id, "State", Gone, "Born", born)
			n.publishDeparture()
		}
		return err
	}
	// The process is the known one, or that one has ended as a later one has its id.
	if cur.State == Gone {
		n.mu.Unlock()
		if added {
			n.publishDeparture()
		}
		return nil
	}
	next := *cur
	next.leaving, next.State = true, Gone
	n.server = &next
	n.mu.Unlock()
	n.applyServer(&next, false, true)
	return nil
}

// process identifies the process of the backend server.
func (s *Server) process() departure { return departure{ID: s.ID, Born: s.Born} }

// rememberDeparture applies the departures and verdicts that the store or another daemon has from this daemon's earlier process.
// A backend server that had left may have sent a heartbeat before, which arrives only now. The daemon's own entry
// passes them on to its next process.
func (n *Node) rememberDeparture(earlier Peer) {
	n.mu.Lock()
	if earlier.Life == n.incarnation {
		n.mu.Unlock()
		return
	}
	n.suspects.Restore(earlier.Poisoned)
	cur, changed := n.server, false
	for _, gone := range earlier.departures() {
		if cur != nil && (gone.Born < cur.Born || (cur.leaving && cur.process() == gone)) {
			continue
		}
		added, _ := n.departures.add(gone) // fails only if there are many of processes without a heartbeat
		changed = changed || added
	}
	if cur == nil || cur.leaving || !n.departures.has(cur.process()) {
		n.mu.Unlock()
		if n.updateVerdicts() || changed {
			n.publish()
		}
		return
	}
	next := *cur
	next.leaving, next.State = true, Draining
	n.server = &next
	n.mu.Unlock()
	n.updateVerdicts() // applyServer publishes them
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
		if s.State == Ready {
			n.publish()
		} else {
			n.publishDeparture()
		}
	}
}

func (n *Node) newClient(addr string) *origin.Client {
	return origin.New(origin.Deps{Addr: addr, Names: n.d.Names, Dial: n.d.Dial, Bodies: n.bodies})
}

// AwaitDeparture waits until the store holds the departures reported so far, so that they outlive this process. It
// returns after departureWait at the latest, as a backend server must get its acknowledgement also while the store is
// unavailable; by then the notices of the departures have left over the links.
func (n *Node) AwaitDeparture(ctx context.Context) {
	n.mu.Lock()
	seq := n.departureSeq
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, departureWait)
	defer cancel()
	n.stored.wait(ctx, seq)
}

// departureUnstored reports whether a departure has been reported that the store does not hold.
func (n *Node) departureUnstored() bool {
	n.mu.Lock()
	seq := n.departureSeq
	n.mu.Unlock()
	return seq > 0 && !n.stored.reached(seq)
}

// publishDeparture is publish for a change that AwaitDeparture waits for.
func (n *Node) publishDeparture() {
	n.publish()
	n.mu.Lock()
	n.departureSeq = n.seq
	n.mu.Unlock()
}

// hasDepartures reports whether a backend server beside the daemon left.
func (n *Node) hasDepartures() bool {
	self := n.self()
	return len(self.departures()) > 0
}

// hasReports reports whether a backend server is known, or one that left.
func (n *Node) hasReports() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server != nil || len(n.departures.list) > 0
}

// currentServer returns the backend server beside the daemon; nil if none is known.
func (n *Node) currentServer() *localServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server
}
