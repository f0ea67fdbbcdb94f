package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/store"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// entryKey is the own entry in the store. It is guarded by Node.mu.
type entryKey struct {
	lease    store.LeaseID
	revision int64 // of the key; zero: absent
	written  int64 // seq of the entry there; -1: another life's, or none
}

// takeOwn notes the revision of the own entry.
func (n *Node) takeOwn(p Peer, revision int64) {
	n.mu.Lock()
	if revision <= n.entry.revision {
		n.mu.Unlock()
		return
	}
	n.entry.revision = revision
	other := n.outlive(p)
	n.mu.Unlock()
	if other {
		n.publish()
	}
}

// outlive takes an own entry that the store holds, and reports whether it is that of an earlier life. It is
// replaced, by one that counts as later even if the clock has been set back. The caller holds mu.
func (n *Node) outlive(p Peer) bool {
	if p.Life == n.life {
		return false
	}
	n.entry.written = -1
	n.life = max(n.life, p.Life+1)
	return true
}

// lapsed notes that the store does not hold the own entry.
func (n *Node) lapsed() {
	if n.stopping.Load() {
		return
	}
	n.mu.Lock()
	n.entry.revision, n.entry.written = 0, -1
	n.mu.Unlock()
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// register keeps the own entry in the store.
func (n *Node) register() {
	renew := time.NewTicker(n.d.Config.Lease / 3)
	defer renew.Stop()
	failures := 0
	n.mu.Lock()
	n.entry.written = -1
	n.mu.Unlock()
	for n.ctx.Err() == nil {
		if err := n.write(n.ctx); err != nil {
			failures++
			if !n.pause(failures) {
				return
			}
			continue
		}
		failures = 0
		select {
		case <-n.ctx.Done():
			return
		case <-n.changed:
		case <-renew.C:
			n.renew()
		}
	}
}

// renew extends the lease. One that has ended is replaced with the next write.
func (n *Node) renew() {
	n.mu.Lock()
	id := n.entry.lease
	n.mu.Unlock()
	if err := n.d.Store.Renew(n.ctx, id); errors.Is(err, store.ErrLeaseLost) {
		n.d.Log.Emit(event.LeaseEnded, "Lease", id)
		n.mu.Lock()
		n.entry = entryKey{written: -1}
		n.mu.Unlock()
	}
	// Other failures are those of the store; the next renewal comes before the lease ends.
}

// write brings the own entry up to date.
func (n *Node) write(ctx context.Context) error {
	for {
		self := n.self()
		n.mu.Lock()
		e := n.entry
		n.mu.Unlock()
		if e.written == self.Seq {
			return nil
		}
		if e.lease == 0 {
			id, err := n.d.Store.Grant(ctx, n.d.Config.Lease)
			if err != nil {
				return err
			}
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
		if err := n.wrote(self, v, err); err != nil {
			return err
		}
	}
}

// wrote takes the outcome of a write of the own entry. A write whose outcome is unknown is resolved by the
// next one, which fails if the key is at another revision and says at which.
func (n *Node) wrote(self Peer, v store.Value, err error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err == nil:
		n.entry.revision, n.entry.written = v.Revision, self.Seq
		return nil
	case errors.Is(err, store.ErrConflict):
		n.entry.revision, n.entry.written = v.Revision, -1
		var p Peer
		if derr := wire.Decode(v.Data, &p); derr == nil {
			n.outlive(p)
		} // else it is absent, or a foreign one that is overwritten
		return nil
	case errors.Is(err, store.ErrLeaseLost):
		n.entry.lease, n.entry.written = 0, -1
		return nil
	}
	return err
}

// leaveTimeout bounds the removal of the own entry at a stop. It ends with its lease otherwise.
const leaveTimeout = 150 * time.Millisecond

// leaveStore ends the lease, and with it the own entry.
func (n *Node) leaveStore() {
	n.mu.Lock()
	id := n.entry.lease
	n.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, leaveTimeout)
	defer cancel()
	if err := n.d.Store.Revoke(ctx, id); err != nil {
		n.d.Log.Emit(event.LeaveIncomplete, "Lease", id, "Error", err)
	}
}
