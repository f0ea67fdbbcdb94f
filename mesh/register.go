package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/store"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// ownEntry is the state of the daemon's own entry in the store. It is guarded by Node.mu.
type ownEntry struct {
	lease      store.LeaseID
	stored     store.Position // of the key; revision zero: absent
	writtenSeq int64          // Seq of the stored entry; -1: absent or from another incarnation
}

// applyOwnEntry handles what another daemon states of this one: departures that it returns, or the entry that the store
// holds at a position.
func (n *Node) applyOwnEntry(p Peer, at store.Position) {
	n.rememberDeparture(p)
	n.acceptWitness(p.SinceEnd)
	n.mu.Lock()
	ahead := p.Life > n.incarnation || (p.Life == n.incarnation && p.Seq > n.seq)
	superseded := ahead && !n.stopping.Load() && at.After(n.entry.stored) && n.supersede(p)
	n.mu.Unlock()
	n.observeOwnPosition(at)
	if superseded {
		n.publish()
	}
}

// updateOwnEntry records the position at which the store holds the daemon's own entry. A write whose answer was lost may
// run late and replace a newer entry, which is then written again.
func (n *Node) updateOwnEntry(p Peer, at store.Position) {
	n.rememberDeparture(p)
	n.mu.Lock()
	if !at.After(n.entry.stored) {
		n.mu.Unlock()
		return
	}
	n.setEntryPosition(at)
	superseded := n.supersede(p)
	outdated := p.Life == n.incarnation && p.Seq < n.entry.writtenSeq
	if outdated {
		n.entry.writtenSeq = -1
	}
	n.mu.Unlock()
	switch {
	case superseded:
		n.publish()
	case outdated:
		n.requestEntryWrite()
	}
}

// observeOwnPosition records that the store holds the daemon's own entry at a position, as another daemon states. If it
// was written after the daemon's own last write, by one whose answer was lost, it is written again.
func (n *Node) observeOwnPosition(at store.Position) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.Revision == 0 || !at.After(n.entry.stored) {
		return
	}
	n.setEntryPosition(at)
	n.entry.writtenSeq = -1
	n.requestEntryWrite()
}

// setEntryPosition records the position of the daemon's own entry, which its full states state. The caller holds n.mu.
func (n *Node) setEntryPosition(at store.Position) {
	n.entry.stored = at
	n.peers.setOwnStored(n.d.Self, at)
}

// supersede reports whether p, the stored own entry, is not one that this process wrote: it is from an earlier
// incarnation, or from another writer. If so, it raises the daemon's incarnation or sequence number above that of p, so
// that the entry is replaced even if the clock was set back. The caller holds n.mu.
func (n *Node) supersede(p Peer) bool {
	switch {
	case p.Life == 0 || !p.plausible(n.d.Now()):
		return false
	case p.Life != n.incarnation:
		n.incarnation = max(n.incarnation, p.Life+1)
	case p.Seq > n.seq:
		n.seq = p.Seq
	default:
		return false
	}
	n.entry.writtenSeq = -1
	return true
}

// markEntryMissing records that the store did not hold the daemon's own entry at a position.
func (n *Node) markEntryMissing(at store.Position) {
	if n.stopping.Load() {
		return
	}
	n.mu.Lock()
	if n.entry.stored.After(at) {
		n.mu.Unlock()
		return // written since
	}
	n.setEntryPosition(store.Position{})
	n.entry.writtenSeq = -1
	n.mu.Unlock()
	n.requestEntryWrite()
}

// maintainEntry keeps the daemon's own entry in the store up to date and its lease renewed.
func (n *Node) maintainEntry() {
	renew := time.NewTicker(n.d.Config.Lease / 3)
	defer renew.Stop()
	failures := 0
	n.mu.Lock()
	n.entry.writtenSeq = -1
	n.mu.Unlock()
	n.awaitBackend()
	for n.ctx.Err() == nil {
		if err := n.write(n.ctx); err != nil {
			failures++
			if n.departureUnstored() {
				failures = min(failures, 1) // it is known to the store soon after that is back
			}
			if !n.backOff(failures) {
				return
			}
			continue
		}
		failures = 0
		select {
		case <-n.ctx.Done():
			return
		case <-n.entryOutdated:
		case <-renew.C:
			n.renew()
			n.publishVerdicts() // some may have expired
		}
	}
}

// awaitBackend waits for the first report of a backend server.
func (n *Node) awaitBackend() {
	t := time.NewTimer(n.d.Config.RegisterWait)
	defer t.Stop()
	for !n.hasReports() {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
			return
		case <-n.entryOutdated:
		}
	}
}

// renew extends the lease. An expired lease is replaced by the next write.
func (n *Node) renew() {
	n.mu.Lock()
	id := n.entry.lease
	n.mu.Unlock()
	err := n.d.Store.Renew(n.ctx, id)
	n.observeEra(n.d.Store.Era())
	if errors.Is(err, store.ErrLeaseLost) {
		n.d.Log.Emit(event.LeaseEnded, "Lease", id)
		n.mu.Lock()
		n.entry = ownEntry{writtenSeq: -1}
		n.setEntryPosition(store.Position{})
		n.mu.Unlock()
	}
	// Other errors come from the store; the next renewal is due before the lease expires.
}

// write updates the daemon's own entry until it matches the current state.
func (n *Node) write(ctx context.Context) error {
	for {
		n.observeEra(n.d.Store.Era())
		self := n.self()
		n.mu.Lock()
		e := n.entry
		n.mu.Unlock()
		if e.writtenSeq == self.Seq {
			n.stored.set(self.Seq)
			return nil
		}
		if e.lease == 0 {
			if err := n.grantLease(ctx); err != nil {
				return err
			}
			continue
		}
		data, err := wire.Encode(self)
		if err != nil {
			return err
		}
		v, err := n.d.Store.Swap(ctx, n.d.Keys.Peers+string(self.Addr), e.stored.Revision, data, e.lease)
		if err := n.handleWriteResult(self, v, err); err != nil {
			return err
		}
	}
}

// grantLease creates a lease for the daemon's own entry.
func (n *Node) grantLease(ctx context.Context) error {
	n.mu.Lock()
	era := n.era
	n.mu.Unlock()
	began := time.Now()
	id, err := n.d.Store.Grant(ctx, n.d.Config.Lease)
	if err != nil {
		return err
	}
	n.observeStoreLatency(time.Since(began))
	n.observeEra(n.d.Store.Era())
	n.mu.Lock()
	defer n.mu.Unlock()
	if era == n.era { // else the lease may be from before a restore
		n.entry.lease = id
	}
	return nil
}

// handleWriteResult records the result of writing the daemon's own entry. If the outcome is unknown, the next
// write resolves it: it fails if the key has another revision and returns that revision.
func (n *Node) handleWriteResult(self Peer, v store.Value, err error) error {
	var found Peer // the stored entry, if another one than expected
	if errors.Is(err, store.ErrConflict) && wire.Decode(v.Data, &found) == nil {
		n.rememberDeparture(found)
	} // absent, or invalid and overwritten
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err == nil:
		n.setEntryPosition(v.Position())
		n.entry.writtenSeq = self.Seq
		return nil
	case errors.Is(err, store.ErrConflict):
		n.setEntryPosition(v.Position())
		n.entry.writtenSeq = -1
		if found.Life != 0 {
			n.supersede(found)
		}
		return nil
	case errors.Is(err, store.ErrLeaseLost):
		n.entry.lease, n.entry.writtenSeq = 0, -1
		return nil
	}
	return err
}

// removeTimeout limits removing the own entry at a stop. If that fails, the entry expires with its lease.
const removeTimeout = 150 * time.Millisecond

// removeEntry removes the daemon's own entry. The lease is left to end: after a restore of the store that the daemon has
// not noticed, its id may be that of another daemon's lease.
func (n *Node) removeEntry() {
	n.mu.Lock()
	at := n.entry.stored
	n.mu.Unlock()
	if at.Revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, removeTimeout)
	defer cancel()
	if err := n.d.Store.Delete(ctx, n.d.Keys.Peers+string(n.d.Self), at.Revision); err != nil {
		n.d.Log.Emit(event.LeaveIncomplete, "Entry", at, "Error", err)
	}
}
