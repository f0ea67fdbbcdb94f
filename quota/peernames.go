package quota

import (
	"errors"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// errUnknownPeer makes a holder send a full Sync.
var errUnknownPeer = errors.New("peer is not known in this epoch")

// findPeer returns the listed peer that sent s, or nil. A compact Sync is accepted only from
// the process to which the number was assigned.
func (t *term) findPeer(s Sync) (*peer, error) {
	if s.Peer == 0 {
		return t.peers[s.Addr], nil
	}
	p := t.peersByNumber[s.Peer]
	if p == nil || t.peers[p.addr] != p || p.incarnation != s.Incarnation || s.Epoch != t.rec.Epoch {
		return nil, errUnknownPeer
	}
	return p, nil
}

// resolveMembers returns the uses of s with member names. It does not change p, since s may
// still be rejected.
func (p *peer) resolveMembers(s Sync) ([]Use, error) {
	out := make([]Use, len(s.Uses))
	for i, u := range s.Uses {
		if u.Member == "" {
			if s.Peer == 0 || u.Number == 0 || u.Number > uint64(len(p.memberNames)) {
				return nil, fmt.Errorf("member %d of %s: %w", u.Number, p.addr, errUnknownPeer)
			}
			u.Member = p.memberNames[u.Number-1]
		}
		out[i] = u
	}
	return out, nil
}

// assignNumber assigns a new number to the current process of p, which sent a full Sync, and
// returns it.
func (t *term) assignNumber(p *peer) uint64 {
	delete(t.peersByNumber, p.number)
	if t.peersByNumber == nil {
		t.peersByNumber = map[uint64]*peer{}
	}
	t.lastNumber++
	p.number, p.memberNames = t.lastNumber, nil
	t.peersByNumber[p.number] = p
	return p.number
}

// recordNumbers records the numbers of the members in uses. A number may be assigned again if
// the holder did not get the answer that confirmed it.
func (p *peer) recordNumbers(uses []Use) {
	for _, u := range uses {
		switch n := uint64(len(p.memberNames)); {
		case u.Number == n+1:
			p.memberNames = append(p.memberNames, u.Member)
		case u.Number > 0 && u.Number <= n:
			p.memberNames[u.Number-1] = u.Member
		}
	}
}

// dropPeer deletes a peer that is no longer listed, and its number.
func (t *term) dropPeer(addr ident.Addr) {
	if p := t.peers[addr]; p != nil {
		delete(t.peersByNumber, p.number)
	}
	delete(t.peers, addr)
}
