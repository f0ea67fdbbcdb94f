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
	revision   int64 // revision of the key; zero: absent
	writtenSeq int64 // Seq of the stored entry; -1: absent or from another incarnation
}

// updateOwnEntry records the revision at which the store holds the daemon's own entry.
func (n *Node) updateOwnEntry(p Peer, revision int64) {
	n.rememberDeparture(p)
	n.mu.Lock()
	if revision <= n.entry.revision {
		n.mu.Unlock()
		return
	}
	n.entry.revision = revision
	superseded := n.supersede(p)
	n.mu.Unlock()
	if superseded {
		n.publish()
	}
}

// supersede reports whether p, the stored own entry, is from an earlier incarnation. If so, it raises the
// daemon's incarnation above that of p, so that the entry is replaced even if the clock was set back. The
// caller holds n.mu.
func (n *Node) supersede(p Peer) bool {
	if p.Life == n.incarnation {
		return false
	}
	n.entry.writtenSeq = -1
	n.incarnation = max(n.incarnation, p.Life+1)
	return true
}

// markEntryMissing records that the store did not hold the daemon's own entry at revision.
func (n *Node) markEntryMissing(revision int64) {
	if n.stopping.Load() {
		return
	}
	n.mu.Lock()
	if n.entry.revision > revision {
		n.mu.Unlock()
		return // written since
	}
	n.entry.revision, n.entry.writtenSeq = 0, -1
	n.mu.Unlock()
	select {
	case n.entryOutdated <- struct{}{}:
	default:
	}
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
	if err := n.d.Store.Renew(n.ctx, id); errors.Is(err, store.ErrLeaseLost) {
		n.d.Log.Emit(event.LeaseEnded, "Lease", id)
		n.mu.Lock()
		n.entry = ownEntry{writtenSeq: -1}
		n.mu.Unlock()
	}
	// Other errors come from the store; the next renewal is due before the lease expires.
}

// write updates the daemon's own entry until it matches the current state.
func (n *Node) write(ctx context.Context) error {
	for {
		self := n.self()
		n.mu.Lock()
		e := n.entry
		n.mu.Unlock()
		if e.writtenSeq == self.Seq {
			n.stored.set(self.Seq)
			return nil
		}
		if e.lease == 0 {
			began := time.Now()
			id, err := n.d.Store.Grant(ctx, n.d.Config.Lease)
			if err != nil {
				return err
			}
			n.observeStoreLatency(time.Since(began))
			self = n.self()
			n.mu.Lock()
			n.entry.lease = id
			n.mu.Unlock()
			e.lease = id
		}
		data, err := wire.Encode(self)
		if err != nil {
			return err
		}
		v, err := n.d.Store.Swap(ctx, n.d.Keys.Peers+string(self.Addr), e.revision, data, e.lease)
		if err := n.handleWriteResult(self, v, err); err != nil {
			return err
		}
	}
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
		n.entry.revision, n.entry.writtenSeq = v.Revision, self.Seq
		return nil
	case errors.Is(err, store.ErrConflict):
		n.entry.revision, n.entry.writtenSeq = v.Revision, -1
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

// revokeTimeout limits removing the own entry at a stop. If that fails, the entry expires with its lease.
const revokeTimeout = 150 * time.Millisecond

// revokeLease revokes the lease, which removes the daemon's own entry.
func (n *Node) revokeLease() {
	n.mu.Lock()
	id := n.entry.lease
	n.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, revokeTimeout)
	defer cancel()
	if err := n.d.Store.Revoke(ctx, id); err != nil {
		n.d.Log.Emit(event.LeaveIncomplete, "Lease", id, "Error", err)
	}
}
