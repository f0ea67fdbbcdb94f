package quota

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// term is the state of an elected keeper until its lease ends.
type term struct {
	rec      Record
	revision int64
	lease    LeaseID
	renewed  Stamp         // when the last successful renewal was sent
	started  time.Duration // when the epoch was incremented
	epoch    uint64        // same as rec.Epoch
	era      uint64        // of the store at the election; the term ends if it changes
	// keyRevision is the revision of the keeper key, by which it is known before its lease is revoked.
	keyRevision int64
	// Until these times units are withheld because the store has lost the term of an earlier keeper, and with it
	// holders to which that one may have granted some. Zero: they are not.
	floatingFreeAt, pinnableFreeAt time.Duration
	state                          uint64 // incremented with each change of the list or its acknowledgements
	newAcks                        bool   // acknowledgements arrived since state was last incremented
	peers                          map[ident.Addr]*peer
	pools                          map[ident.MemberID]*unitPool
	unlisted                       map[ident.Addr]struct{} // unlisted holders that asked for units
	ended                          bool

	peersByNumber map[uint64]*peer // by peer.number
	lastNumber    uint64
	changed       map[ident.MemberID]struct{} // members whose units changed since the last notification
	pendingFrees  []ident.Addr                // holders to which a Free is to be sent
	freesReady    chan struct{}               // signals that pendingFrees is not empty
}

// pool returns the pool of member. It creates one if there is none.
func (t *term) pool(member ident.MemberID) *unitPool {
	pool := t.pools[member]
	if pool == nil {
		pool = newUnitPool()
		t.pools[member] = pool
	}
	return pool
}

// markChanged records that the units of member changed.
func (t *term) markChanged(member ident.MemberID) {
	if t.changed == nil {
		t.changed = map[ident.MemberID]struct{}{}
	}
	t.changed[member] = struct{}{}
}

// lastExchange returns the time of the last exchange with addr.
func (t *term) lastExchange(addr ident.Addr) (time.Duration, bool) {
	p := t.peers[addr]
	if p == nil {
		return 0, false
	}
	return p.lastExchange, true
}

// withheld reports whether all floating units, or the half that may be pinned, are withheld
// because holders that have not reported may use them.
func (t *term) withheld(now time.Duration) (allWithheld, pinnableWithheld bool) {
	allWithheld, pinnableWithheld = now < t.floatingFreeAt, now < t.pinnableFreeAt
	for _, p := range t.peers {
		allWithheld = allWithheld || now <= p.floatingFreeAt
		pinnableWithheld = pinnableWithheld || now <= p.pinnableFreeAt
	}
	return allWithheld, pinnableWithheld
}

// addPeer adds a peer for a listed address, whose silence counts from now.
func (t *term) addPeer(addr ident.Addr, now time.Duration) *peer {
	p := &peer{addr: addr, lastExchange: now, members: map[ident.MemberID]struct{}{}, pins: map[uint64]ident.MemberID{}}
	t.peers[addr] = p
	return p
}

// retainStale keeps the units of p committed as those of an earlier process until they expire.
func (t *term) retainStale(p *peer) {
	until := p.lastExchange + withClockTolerance(silentTimeout)
	for member := range p.members {
		pool := t.pool(member)
		if alloc := pool.allocs[p.addr]; alloc != nil && alloc.committed > 0 {
			pool.stale = append(pool.stale, staleUse{alloc.committed, until})
		}
		delete(pool.allocs, p.addr)
	}
	clear(p.members)
	clear(p.pins) // the pools keep the pins until their deadlines
}

// acknowledged returns the addresses in Prev that have acknowledged the list, and whether all
// of them that are still listed have.
func (t *term) acknowledged() (acked []ident.Addr, all bool) {
	all = true
	for _, a := range t.rec.Prev {
		p := t.peers[a]
		switch {
		case p == nil: // no longer listed
		case p.ackedVersion >= t.rec.ListVersion:
			acked = append(acked, a)
		default:
			all = false
		}
	}
	return acked, all
}
