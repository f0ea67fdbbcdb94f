package mesh

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/route"
)

// roster holds the daemons that are known, this one included.
type roster struct {
	mu    sync.RWMutex
	peers map[ident.Addr]*listed
	most  int // daemons that were known at once
}

// listed is a peer with the sources that vouch for it.
type listed struct {
	Peer
	revision int64 // of its key in the store; zero: not there
	linked   bool  // a link to it is open
}

func newRoster() *roster { return &roster{peers: map[ident.Addr]*listed{}} }

// merge takes p if it is newer than what is known, and reports whether it was. A direct peer has
// said so itself over a link, which outranks what the store holds of an earlier life.
func (r *roster) merge(p Peer, direct bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.peers[p.Addr]
	if l == nil {
		r.peers[p.Addr] = &listed{Peer: p, linked: direct}
		r.most = max(r.most, len(r.peers))
		return true
	}
	l.linked = l.linked || direct
	if !p.newer(&l.Peer) && (!direct || p.Life == l.Life) {
		return false
	}
	l.Peer = p
	return true
}

// stored notes that the store holds the peer at addr, at revision.
func (r *roster) stored(addr ident.Addr, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.peers[addr]; l != nil {
		l.revision = revision
	}
}

// unstored notes that the store no longer holds the peer at addr. A peer without a link is gone then.
func (r *roster) unstored(addr ident.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.peers[addr]; l != nil {
		l.revision = 0
		if !l.linked {
			delete(r.peers, addr)
		}
	}
}

// unlinked notes that the last link to addr has ended.
func (r *roster) unlinked(addr ident.Addr, storeCurrent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.peers[addr]; l != nil {
		l.linked = false
		if l.revision == 0 && storeCurrent {
			delete(r.peers, addr)
		}
	}
}

func (r *roster) get(addr ident.Addr) (Peer, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	l := r.peers[addr]
	if l == nil {
		return Peer{}, false
	}
	return l.Peer, true
}

// all returns the peers without the one at self.
func (r *roster) all(self ident.Addr) []Peer {
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

// daemons returns the number of daemons that were known at once, which share what all may use.
func (r *roster) daemons() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return max(1, r.most)
}

// candidates returns the servers of service that are not in without, and how many there are with those.
func (r *roster) candidates(service ident.ServiceID, without map[ident.Addr]bool, now time.Time) ([]route.Candidate, int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var out []route.Candidate
	n := 0
	for a, l := range r.peers {
		if !l.serves(service) {
			continue
		}
		n++
		if !without[a] {
			out = append(out, route.Candidate{
				Addr: a, Place: l.Place, Slots: l.Server.Slots, Cold: now.Before(l.Server.WarmAt),
			})
		}
	}
	return out, n
}

// hosts returns the daemons beside the backend servers of service, whatever the state of these.
func (r *roster) hosts(service ident.ServiceID) []ident.Addr {
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
