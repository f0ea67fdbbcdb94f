package mesh

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/route"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// peerList holds all known daemons, including this one.
type peerList struct {
	mu       sync.RWMutex
	peers    map[ident.Addr]*peerEntry
	removed  map[ident.Addr]store.Position // where in the history of the store entries were absent
	maxKnown int                           // highest number of daemons known at one time
	// generation changes whenever a peer is added, removed or changed.
	generation atomic.Uint64
}

// peerEntry is a peer and where it is known from. It is removed missingTime after neither the store nor a link has it.
type peerEntry struct {
	Peer
	stored store.Position // of its key in the store; revision zero: not in the store
	linked bool           // a link to it is open
	// missingSince is when it was last known to the store or a link; zero: it is.
	missingSince time.Time
	ended        linkEnd
}

func newPeerList() *peerList {
	return &peerList{peers: map[ident.Addr]*peerEntry{}, removed: map[ident.Addr]store.Position{}}
}

// merge updates a peer if p is newer than the known state, and reports whether it did. direct means that the
// peer sent its state itself over a link; this overrides a stored entry of another incarnation.
func (r *peerList) merge(p Peer, direct bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.peers[p.Addr]
	if l == nil {
		l = &peerEntry{Peer: p, linked: direct}
		l.updateMissing(time.Now())
		r.peers[p.Addr] = l
		r.maxKnown = max(r.maxKnown, len(r.peers))
		r.generation.Add(1)
		return true
	}
	l.linked = l.linked || direct
	defer func() { l.updateMissing(time.Now()) }()
	if !p.newer(&l.Peer) && (!direct || p.Life == l.Life) {
		return false
	}
	if p.Life != l.Life {
		p.Departed = append(slices.Clone(p.Departed), p.lacking(&l.Peer)...)
		p.Departed = p.Departed[:min(len(p.Departed), maxDepartures)]
	}
	l.Peer = p
	r.generation.Add(1)
	return true
}

// setStored records that the store holds the entry of the peer at addr at a position, and reports whether that is
// newer than what is known of the entry.
func (r *peerList) setStored(addr ident.Addr, at store.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.peers[addr]
	if l == nil || at.Revision == 0 || !at.After(l.stored) || !at.After(r.removed[addr]) {
		return false
	}
	l.stored = at
	l.updateMissing(time.Now())
	delete(r.removed, addr)
	return true
}

// setOwnStored records the position of the daemon's own entry; revision zero: the store does not hold it.
func (r *peerList) setOwnStored(self ident.Addr, at store.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.peers[self]; l != nil {
		l.stored = at
	}
}

// clearStored records that the store does not hold the peer at addr at a position, and reports whether that is newer
// than what is known of the entry.
func (r *peerList) clearStored(addr ident.Addr, at store.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.peers[addr]
	if l == nil || l.stored.Revision == 0 || l.stored.After(at) {
		return false
	}
	l.stored = store.Position{}
	l.updateMissing(time.Now())
	r.setRemoved(addr, at)
	return true
}

// isRemoved reports whether the entry of p, which the store had at a position, has been removed since. A restore brings
// entries back that had been removed; they count again when their daemons write them in the new era.
func (r *peerList) isRemoved(p *Peer, at store.Position) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	last, ok := r.removed[p.Addr]
	return ok && (!at.After(last) || (last.Era < at.Era && p.Era < at.Era))
}

// maxRemoved limits the removed entries that are remembered. When it is exceeded, all are discarded; a notice that
// was overtaken could then restore one of them until the next full state.
const maxRemoved = 16384

// setRemoved remembers where an entry was absent. The caller holds r.mu.
func (r *peerList) setRemoved(addr ident.Addr, at store.Position) {
	if len(r.removed) >= maxRemoved {
		clear(r.removed)
	}
	r.removed[addr] = at
}

// removeAbsent clears the entries that the store does not hold at a position, and returns them.
func (r *peerList) removeAbsent(self ident.Addr, present map[ident.Addr]bool, at store.Position) []removedPeer {
	var gone []removedPeer
	for _, p := range r.all(self) {
		if a := p.Peer.Addr; !present[a] && r.clearStored(a, at) {
			gone = append(gone, newRemovedPeer(a, at))
		}
	}
	return gone
}

// missingTime is how long a daemon is kept that neither the store nor a link has. The store may lose all entries in
// an outage; they are back within two seconds after it.
const missingTime = 3 * time.Second

// updateMissing records whether the peer is missing at now. An entry from the copy of a restored store does not show
// that its daemon still runs.
func (l *peerEntry) updateMissing(now time.Time) {
	stored := l.stored.Revision > 0 && l.Era >= l.stored.Era
	switch missing := !stored && !l.linked; {
	case !missing:
		l.missingSince = time.Time{}
	case l.missingSince.IsZero():
		l.missingSince = now
	}
}

// removeMissing removes the peers that have been missing for missingTime.
func (r *peerList) removeMissing(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a, l := range r.peers {
		if !l.missingSince.IsZero() && now.Sub(l.missingSince) > missingTime {
			delete(r.peers, a)
			r.generation.Add(1)
		}
	}
}

// clearLinked records that the last link to addr was closed.
func (r *peerList) clearLinked(addr ident.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.peers[addr]; l != nil {
		l.linked = false
		l.updateMissing(time.Now())
	}
}

func (r *peerList) get(addr ident.Addr) (Peer, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	l := r.peers[addr]
	if l == nil {
		return Peer{}, false
	}
	return l.Peer, true
}

// all returns all peers except the one at self.
func (r *peerList) all(self ident.Addr) []storedPeer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]storedPeer, 0, len(r.peers))
	for a, l := range r.peers {
		if a != self {
			out = append(out, newStoredPeer(l.Peer, l.stored))
		}
	}
	return out
}

// list returns all peers.
func (r *peerList) list() []Peer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]Peer, 0, len(r.peers))
	for _, l := range r.peers {
		out = append(out, l.Peer)
	}
	return out
}

// daemons returns the highest number of daemons known at one time, which divide the shared limits.
func (r *peerList) daemons() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return max(1, r.maxKnown)
}

// candidates returns the servers of service that are not excluded, and the number including excluded ones.
func (r *peerList) candidates(service ident.ServiceID, excluded map[ident.Addr]bool, now time.Time) ([]route.Candidate, int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []route.Candidate
	n := 0
	for a, l := range r.peers {
		if !l.serves(service) {
			continue
		}
		n++
		if !excluded[a] {
			out = append(out, route.Candidate{
				Addr: a, Place: l.Place, Slots: l.Server.Slots, Cold: now.Before(l.Server.WarmAt),
			})
		}
	}
	return out, n
}

// hosts returns the daemons beside the backend servers of service, in any state.
func (r *peerList) hosts(service ident.ServiceID) []ident.Addr {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []ident.Addr
	for addr, p := range r.peers {
		if p.Server != nil && p.Server.Service == service {
			out = append(out, addr)
		}
	}
	return out
}
