package mesh

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/route"
)

// peerList holds all known daemons, including this one.
type peerList struct {
	mu       sync.RWMutex
	peers    map[ident.Addr]*peerEntry
	maxKnown int // highest number of daemons known at one time
}

// peerEntry is a peer and where it is known from. It is removed when neither the store nor a link has it.
type peerEntry struct {
	Peer
	revision int64 // of its key in the store; zero: not in the store
	linked   bool  // a link to it is open
}

func newPeerList() *peerList { return &peerList{peers: map[ident.Addr]*peerEntry{}} }

// merge updates a peer if p is newer than the known state, and reports whether it did. direct means that the
// peer sent its state itself over a link; this overrides a stored entry of another incarnation.
func (r *peerList) merge(p Peer, direct bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.peers[p.Addr]
	if l == nil {
		r.peers[p.Addr] = &peerEntry{Peer: p, linked: direct}
		r.maxKnown = max(r.maxKnown, len(r.peers))
		return true
	}
	l.linked = l.linked || direct
	if !p.newer(&l.Peer) && (!direct || p.Life == l.Life) {
		return false
	}
	l.Peer = p
	return true
}

// setStored records that the store holds the entry of the peer at addr at revision.
func (r *peerList) setStored(addr ident.Addr, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.peers[addr]; l != nil {
		l.revision = revision
	}
}

// clearStored records that the store no longer holds the peer at addr. A peer without a link is removed.
func (r *peerList) clearStored(addr ident.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.peers[addr]; l != nil {
		l.revision = 0
		if !l.linked {
			delete(r.peers, addr)
		}
	}
}

// clearLinked records that the last link to addr was closed.
func (r *peerList) clearLinked(addr ident.Addr, storeCurrent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.peers[addr]; l != nil {
		l.linked = false
		if l.revision == 0 && storeCurrent {
			delete(r.peers, addr)
		}
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
func (r *peerList) all(self ident.Addr) []Peer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]Peer, 0, len(r.peers))
	for a, l := range r.peers {
		if a != self {
			out = append(out, l.Peer)
		}
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
