package quota

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// replaceUses replaces the allocations of p by the uses that it reports.
func (t *term) replaceUses(p *peer, uses []Use) {
	for member := range p.members {
		delete(t.pool(member).allocs, p.addr)
		t.markChanged(member)
	}
	clear(p.members)
	for _, u := range uses {
		t.pool(u.Member).allocs[p.addr] = &allocation{committed: max(u.Limit, u.Used), want: u.Want}
		p.members[u.Member] = struct{}{}
		t.markChanged(u.Member)
	}
}

// restorePins records the pins of p that an earlier keeper confirmed, when p first reports in
// this epoch. They are in use whether or not units are free or withheld.
func (t *term) restorePins(p *peer, pins []PinUse, now time.Duration) {
	for _, u := range pins {
		if !u.Confirmed {
			continue
		}
		t.pool(u.Member).pins[pinKey{p.addr, p.incarnation, u.ID}] = now + withClockTolerance(u.Left) + StopGrace
		p.pins[u.ID] = u.Member
	}
}

// releasePins releases the pins of the current process of p that are not in pins.
func (t *term) releasePins(p *peer, pins []PinUse) {
	listed := make(map[uint64]struct{}, len(pins))
	for _, u := range pins {
		listed[u.ID] = struct{}{}
	}
	for id, member := range p.pins {
		if _, ok := listed[id]; !ok {
			delete(t.pool(member).pins, pinKey{p.addr, p.incarnation, id})
			t.markChanged(member)
			delete(p.pins, id)
		}
	}
}

// handleSync handles a Sync. The answer grants floating units that are free.
func (k *Keeper) handleSync(s Sync) (Grant, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.term
	if !k.termValid(t) {
		return Grant{}, ErrNotKeeper
	}
	if s.Peer == 0 && s.Service != k.d.Service {
		return Grant{}, fmt.Errorf("keeper serves %s, not %s", k.d.Service, s.Service)
	}
	if s.Peer == 0 && s.Epoch > t.rec.Epoch {
		t.ended = true
		return Grant{}, ErrNotKeeper
	}
	now := k.d.Clock.Mono()
	p, err := t.findPeer(s)
	if err != nil {
		return Grant{}, err
	}
	if p == nil {
		t.unlisted[s.Addr] = struct{}{}
		return Grant{Epoch: t.rec.Epoch, State: t.state, List: t.holderList(k.d.Clock.Wall())}, nil
	}
	if s.Uses, err = p.resolveMembers(s); err != nil {
		return Grant{}, err
	}
	first := !p.answered
	if err := t.acceptSync(p, s, now); err != nil {
		return Grant{}, err
	}
	if first {
		t.restorePins(p, s.Pins, now)
	}
	t.replaceUses(p, s.Uses)
	t.releasePins(p, s.Pins)
	p.lastExchange, p.freeSent = now, false
	if s.Ack > p.ackedVersion {
		p.ackedVersion = s.Ack
		t.newAcks = true
	}
	g := Grant{Epoch: t.rec.Epoch, State: t.state, Listed: true, Clean: p.cleanStart, Joined: p.joined, After: p.predecessor}
	if s.Peer == 0 {
		g.Peer = t.assignNumber(p)
	}
	p.recordNumbers(s.Uses)
	// Floating units must not outlive the keeper's lease.
	g.TTL = min(GrantTTL, KeeperLeaseTTL*99/100-k.d.Clock.Since(t.renewed))
	k.allocate(t, p, s, now, &g)
	k.notifyChanged(t, now)
	if s.Epoch != t.rec.Epoch || s.State != t.state {
		g.List = t.holderList(k.d.Clock.Wall())
	}
	return g, nil
}

// acceptSync rejects messages that are out of order and records a new process of the holder.
func (t *term) acceptSync(p *peer, s Sync, now time.Duration) error {
	switch {
	case p.removing || p.retired:
		return fmt.Errorf("holder %s is leaving the list", p.addr)
	case s.Incarnation < p.incarnation:
		return fmt.Errorf("incarnation %d of %s has ended", s.Incarnation, p.addr)
	case s.Incarnation == p.incarnation && s.Seq <= p.seq:
		return fmt.Errorf("sync %d of %s is superseded", s.Seq, p.addr)
	case s.Incarnation == p.incarnation && p.cleanLeave:
		return fmt.Errorf("holder %s has left", p.addr)
	}
	if s.Incarnation > p.incarnation {
		t.retainStale(p)
		p.joined = p.joined && p.incarnation == 0
		p.predecessor = 0
		if p.cleanLeave {
			p.predecessor = p.incarnation
		}
		p.cleanStart, p.cleanLeave = p.cleanLeave, false
		p.incarnation, p.ackedVersion = s.Incarnation, 0
	}
	p.seq = s.Seq
	if !p.answered {
		p.recordAge(now, s.Age, t.rec.Longest)
	}
	return nil
}

// allocate grants floating units and pins to p according to demand.
func (k *Keeper) allocate(t *term, p *peer, s Sync, now time.Duration, g *Grant) {
	allWithheld, pinnableWithheld := t.withheld(now)
	for _, u := range s.Pins {
		if k.confirmPin(t, p, u, now, allWithheld, pinnableWithheld) {
			g.Pinned = append(g.Pinned, u.ID)
		}
	}
	g.Units = make([]ident.Units, len(s.Uses))
	for i, u := range s.Uses {
		pool := t.pool(u.Member)
		pool.expire(now, t.lastExchange)
		alloc := pool.allocs[p.addr]
		if alloc == nil || alloc.want == 0 {
			continue
		}
		alloc.waits = true
		if allWithheld {
			continue
		}
		units := k.assignable(pool, u.Member, pinnableWithheld)
		n := min(pool.fairShareOf(p.addr, units), units-pool.committedByOthers(p.addr))
		if n <= 0 {
			continue
		}
		alloc.committed, alloc.granted, alloc.waits = max(alloc.committed, n), n, n < alloc.want
		g.Units[i] = n
	}
}

// assignable returns the floating units of member that are neither fixed nor withheld.
func (k *Keeper) assignable(pool *unitPool, member ident.MemberID, pinnableWithheld bool) ident.Units {
	units := floatingUnits(k.d.Cap(member)) - pool.fixed()
	if pinnableWithheld {
		units -= pinnable(floatingUnits(k.d.Cap(member)))
	}
	return units
}

// notifyChanged queues a Free for the holders affected by the last message.
func (k *Keeper) notifyChanged(t *term, now time.Duration) {
	allWithheld, pinnableWithheld := t.withheld(now)
	for member := range t.changed {
		k.notifyHolders(t, member, allWithheld, pinnableWithheld)
	}
	clear(t.changed)
}

// pinnable returns how many of the floating units may be pinned.
func pinnable(units ident.Units) ident.Units { return units / 2 }

// confirmPin confirms a new pin if a floating unit is free. It reports whether the pin is
// confirmed.
func (k *Keeper) confirmPin(t *term, p *peer, u PinUse, now time.Duration, allWithheld, pinnableWithheld bool) bool {
	pool := t.pool(u.Member)
	key := pinKey{p.addr, p.incarnation, u.ID}
	if _, ok := pool.pins[key]; ok {
		return true // confirmed before, but the answer was lost
	}
	pool.expire(now, t.lastExchange)
	units := floatingUnits(k.d.Cap(u.Member))
	committed := pool.fixed() + pool.committedByOthers("")
	if allWithheld || pinnableWithheld || u.Left > maxCallTime(t.rec.Longest) ||
		committed >= units || ident.Units(len(pool.pins)) >= pinnable(units) {
		return false
	}
	pool.pins[key] = now + withClockTolerance(u.Left) + StopGrace
	p.pins[u.ID] = u.Member
	return true
}

// handleLeave handles a Leave.
func (k *Keeper) handleLeave(m Leave) (Left, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.term
	if !k.termValid(t) || m.Service != k.d.Service {
		return Left{}, ErrNotKeeper
	}
	p := t.peers[m.Addr]
	if p == nil || p.incarnation != m.Incarnation || m.Seq < p.seq {
		return Left{}, fmt.Errorf("holder %s is not known with incarnation %d", m.Addr, m.Incarnation)
	}
	t.replaceUses(p, nil)
	t.releasePins(p, nil)
	p.seq, p.lastExchange = m.Seq, k.d.Clock.Mono()
	k.notifyChanged(t, p.lastExchange)
	p.cleanLeave = true
	p.removing = p.removing || m.Remove
	return Left{Clean: true}, nil
}

const (
	// retireTimeout is how long the answer to a Retire waits for the record. The daemon of the operator waits 2 s.
	retireTimeout = 1500 * time.Millisecond
	// retireCheckInterval is how often it checks that the record is written, a quarter of maintainInterval.
	retireCheckInterval = maintainInterval / 4
)

// handleRetire handles a Retire. It returns when the record without the holder is written, since a later keeper
// knows only the record. After an error the removal may still be done.
func (k *Keeper) handleRetire(ctx context.Context, m Retire) error {
	t, err := k.markRetired(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	for delay.Sleep(ctx, retireCheckInterval) {
		k.mu.Lock()
		removed := t.peers[m.Addr] == nil
		ended := k.term != t
		k.mu.Unlock()
		switch {
		case removed:
			return nil
		case ended:
			return ErrNotKeeper
		}
	}
	return fmt.Errorf("the removal of %s is not written yet: %w", m.Addr, ctx.Err())
}

// markRetired has the holder removed with the next record, and returns the current term.
func (k *Keeper) markRetired(m Retire) (*term, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.term
	if !k.termValid(t) || m.Service != k.d.Service {
		return nil, ErrNotKeeper
	}
	p := t.peers[m.Addr]
	if p == nil {
		return nil, fmt.Errorf("address %s is not listed", m.Addr)
	}
	p.retired = true
	return t, nil
}

// holderList returns the list as sent to holders at the wall time now.
func (t *term) holderList(now time.Time) *List {
	l := &List{
		Version: t.rec.ListVersion,
		Holders: slices.Clone(t.rec.Holders),
		Prev:    slices.Clone(t.rec.Prev),
		Longest: t.rec.Longest,
	}
	l.Acked, _ = t.acknowledged()
	for _, r := range t.rec.Lost {
		l.Lost = append(l.Lost, Lost{Addr: r.Addr, Left: time.Unix(r.Until, 0).Sub(now), Among: r.Among})
	}
	return l
}
