package mesh

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// A departure is acknowledged after departureWait also if the store did not take it. If the daemon and all others that know
// of it end before the store does, it is forgotten, and a heartbeat that the backend server sent before it left may still
// arrive. A daemon that starts while that is possible does not use a server that is older than itself until it goes on
// reporting.

// doubt is why a daemon cannot rule out that its earlier process acknowledged a departure of which nobody knows.
type doubt string

const (
	noDoubt doubt = ""
	// storeSilent means that the store did not give the daemon's own entry at its start. It may have lacked the store at the
	// end of its earlier process, too.
	storeSilent doubt = "StoreSilent"
	// entryRestored means that the store has the own entry from a copy, which may lack later departures.
	entryRestored doubt = "EntryRestored"
	// entryInDoubt means that the earlier process could not rule it out either.
	entryInDoubt doubt = "EntryInDoubt"
)

const (
	// entryReadTimeout limits the wait for the own entry at the start. The first heartbeat waits for it, and has to be
	// answered within a second.
	entryReadTimeout = 700 * time.Millisecond
	// maxHeartbeatDelay is how late heartbeats are expected to arrive at most: one that arrives later after the daemon's
	// start was sent after it.
	maxHeartbeatDelay = 3 * time.Second
	// confirmingHeartbeats is how many heartbeats show that a process goes on reporting: more than may be late at once.
	confirmingHeartbeats = 3
	// minServerLife is less than any backend server runs before it leaves.
	minServerLife = 2 * time.Second
)

// unconfirmedServer is a process whose heartbeats are not believed yet. It is guarded by Node.mu.
type unconfirmedServer struct {
	process departure
	latest  Heartbeat
	count   int // heartbeats in order
}

// readOwnEntry reads the entry of the daemon's earlier process, and determines whether that may have acknowledged a
// departure that the entry lacks.
func (n *Node) readOwnEntry() {
	defer n.ownEntryReadDone()
	ctx, cancel := context.WithTimeout(n.ctx, entryReadTimeout)
	defer cancel()
	why := n.doubtOf(ctx)
	if why == noDoubt {
		return
	}
	n.mu.Lock()
	if n.witnessed && why != entryInDoubt {
		n.mu.Unlock()
		return
	}
	n.doubt = why
	n.mu.Unlock()
	n.publish()
}

func (n *Node) doubtOf(ctx context.Context) doubt {
	v, err := n.d.Store.Get(ctx, n.d.Keys.Peers+string(n.d.Self))
	if err != nil {
		return storeSilent
	}
	var p Peer
	if v.Revision == 0 || wire.Decode(v.Data, &p) != nil {
		return noDoubt // a stopping daemon removes its entry if nothing left
	}
	n.applyValue(v)
	switch {
	case p.Era < v.Era:
		return entryRestored
	case p.InDoubt:
		return entryInDoubt
	}
	return noDoubt
}

// awaitOwnEntry waits until readOwnEntry has ended, or a witness makes it needless. A Node that was not started has nothing
// to wait for.
func (n *Node) awaitOwnEntry() {
	if !n.ownEntryReading.Load() {
		return
	}
	<-n.ownEntryRead.Done()
}

// believes reports whether the process that sent h can be taken for the backend server, rather than for one that has left
// since. The caller holds n.mu.
func (n *Node) believes(h *Heartbeat, now time.Time) bool {
	p := departure{ID: h.ID, Born: h.Started}
	if n.doubt == noDoubt || h.State == Draining || n.departures.has(p) || n.startedWithDaemon(h.Started) {
		return true
	}
	u := &n.unconfirmed
	switch {
	case u.process == p && h.Seq <= u.latest.Seq, h.Started < u.process.Born:
		return false // out of order, or from an earlier process
	case u.process != p:
		*u = unconfirmedServer{process: p}
		n.d.Log.Emit(event.BackendUnconfirmed, "Server", h.ID, "Born", h.Started, "Seq", h.Seq, "Reason", n.doubt)
	}
	u.latest, u.count = *h, u.count+1
	if u.count < confirmingHeartbeats || now.Sub(n.started) < maxHeartbeatDelay {
		return false
	}
	n.d.Log.Emit(event.BackendConfirmed, "Server", h.ID, "Born", h.Started, "Seq", h.Seq, "Waited", now.Sub(n.started))
	return true
}

// startedWithDaemon reports whether a process that started at born did so after the daemon's earlier process could have
// acknowledged that it leaves. A start in the future means that the clock was set back since, so that it says nothing.
func (n *Node) startedWithDaemon(born int64) bool {
	now := n.d.Now()
	earliest := now.Add(-time.Since(n.started) - minServerLife)
	return born >= earliest.UnixMilli() && born <= now.Add(time.Second).UnixMilli()
}

// inDoubt reports whether departures before the daemon's start may be unknown.
func (n *Node) inDoubt() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.doubt != noDoubt
}
