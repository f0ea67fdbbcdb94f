package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/store"
)

const (
	// minAdvance is by how much the state must be more recent than in the last confirmation for the next to be sent at
	// once. It is more than the delay of links and VMs, by which a confirmation seems more recent at its receiver, so that
	// daemons that follow each other do not answer one with another.
	minAdvance = 200 * time.Millisecond
	// behindTimeout is how long the first parent may lack changes that another one has.
	behindTimeout = 600 * time.Millisecond
	// planInterval is how often a daemon checks which daemons it follows.
	planInterval = 100 * time.Millisecond
	// avoidTime is how long a daemon that could not be reached is passed over as a parent.
	avoidTime = time.Second
)

// subscription is a link over which this daemon follows another one.
type subscription struct {
	addr   ident.Addr
	brief  bool      // the other daemon sends only confirmations
	full   bool      // the other daemon has sent its full state
	notice time.Time // when its last notice arrived
	// current is when its state was that of the store by its confirmations, at first when it was followed.
	current     time.Time
	version     ident.Version // of the other daemon, by its notices
	toldVersion ident.Version // last version of which the other daemon was told, at toldAt
	toldAt      time.Time
	// behindSince is when a confirmation first showed that this daemon's state lacks lacked; zero: it lacks nothing.
	behindSince time.Time
	lacked      progress
}

// progress tells up to what a daemon has the state of the store.
type progress struct {
	position store.Position
	version  ident.Version
}

// lacks reports whether other has something that p has not.
func (p progress) lacks(other progress) bool {
	return other.position.After(p.position) || other.version > p.version
}

// subscriptions tracks the daemons that this daemon follows and the daemons that follow it.
type subscriptions struct {
	mu        sync.Mutex
	following map[*link.Conn]*subscription
	opening   map[ident.Addr]bool
	followers map[*link.Conn]bool      // the value tells whether it gets only confirmations
	avoid     map[ident.Addr]time.Time // parents that could not be reached, and until when they are passed over
	confirmed time.Time                // the state is that of the store at this time; zero: no parent is left
	current   time.Time                // the latest value of confirmed
	lost      chan struct{}            // signals that the last link to a parent is gone
	told      time.Time                // the state was that of the store at this time by the last confirmation sent
	advanced  chan struct{}            // signals that the state is more recent than told by minAdvance

	plan       syncPlan
	planOf     uint64    // generation of the peer list for which plan was made
	planExpiry time.Time // when plan has to be made again
}

func newSubscriptions() *subscriptions {
	return &subscriptions{
		following: map[*link.Conn]*subscription{}, opening: map[ident.Addr]bool{}, followers: map[*link.Conn]bool{},
		avoid: map[ident.Addr]time.Time{}, lost: make(chan struct{}, 1), advanced: make(chan struct{}, 1),
	}
}

// received records a notice over c from a daemon with version v, and reports whether this daemon follows the sender.
func (s *subscriptions) received(c *link.Conn, v ident.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := s.following[c]
	if sub == nil {
		return false
	}
	sub.notice = time.Now()
	sub.version = max(sub.version, v)
	return true
}

// recordState records whether a notice over c holds the full state of a followed daemon, and reports whether that
// daemon has sent it, now or before.
func (s *subscriptions) recordState(c *link.Conn, full bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := s.following[c]
	if sub == nil {
		return false
	}
	sub.full = sub.full || full
	return sub.full
}

// recordBehind records whether a confirmation over c shows that this daemon's state, own, lacks changes, and reports
// whether it has lacked the same for behindTimeout, or the first parent's state is older than lag. The parent is then
// asked for its state.
func (s *subscriptions) recordBehind(c *link.Conn, own, shown progress, lag time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := s.following[c]
	switch now := time.Now(); {
	case sub == nil || !sub.brief:
	case !own.lacks(shown):
		sub.behindSince = time.Time{}
	case s.firstParentLags(lag):
		sub.brief, sub.behindSince = false, time.Time{}
		return true
	case sub.behindSince.IsZero() || !own.lacks(sub.lacked):
		// A confirmation follows each change at once, often before the first parent has sent the change.
		sub.behindSince, sub.lacked = now, shown
	case now.Sub(sub.behindSince) > behindTimeout:
		sub.brief, sub.behindSince = false, time.Time{}
		return true
	}
	return false
}

// firstParentLags reports whether the parents that send what changes have had no state younger than lag. The caller
// holds s.mu.
func (s *subscriptions) firstParentLags(lag time.Duration) bool {
	lags := false
	for _, sub := range s.following {
		if sub.brief {
			continue
		}
		if time.Since(sub.current) <= lag {
			return false
		}
		lags = true
	}
	return lags
}

// recordAge records that the state of the daemon over c was that of the store age ago.
func (s *subscriptions) recordAge(c *link.Conn, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub, at := s.following[c], time.Now().Add(-age); sub != nil && at.After(sub.current) {
		sub.current = at
	}
}

// confirm records that the state was that of the store age ago.
func (s *subscriptions) confirm(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := time.Now().Add(-age); at.After(s.confirmed) {
		s.confirmed, s.current = at, at
		s.advance(at)
	}
}

// recordCurrent records that the state is that of the store.
func (s *subscriptions) recordCurrent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(time.Now())
}

// advance has the followers told at once that the state was that of the store at this time, unless they know nearly as
// much. The caller holds s.mu.
func (s *subscriptions) advance(at time.Time) {
	if at.Sub(s.told) < minAdvance {
		return
	}
	select {
	case s.advanced <- struct{}{}:
	default:
	}
}

// age returns the age of the last confirmation.
func (s *subscriptions) age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.confirmed)
}

// lastCurrent returns when the state was that of the store by the last confirmation, of a parent that may be gone.
func (s *subscriptions) lastCurrent() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// removeLink forgets a closed link.
func (s *subscriptions) removeLink(c *link.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.followers, c)
	if _, ok := s.following[c]; !ok {
		return
	}
	delete(s.following, c)
	if len(s.following) == 0 {
		s.confirmed = time.Time{}
		select {
		case s.lost <- struct{}{}:
		default:
		}
	}
}

// syncPlan returns from which daemons this one gets the state of the store.
func (n *Node) syncPlan() syncPlan {
	s := n.subs
	generation, now := n.peers.generation.Load(), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation == s.planOf && now.Before(s.planExpiry) {
		return s.plan
	}
	s.planOf, s.planExpiry = generation, now.Add(avoidTime)
	for a, until := range s.avoid {
		if !now.Before(until) {
			delete(s.avoid, a)
		}
	}
	self := Peer{Addr: n.d.Self, Place: n.d.Place}
	s.plan = planSync(self, n.peers.list(), func(a ident.Addr) bool { return s.avoid[a].IsZero() })
	return s.plan
}

// passOver excludes a daemon from the plan for a while.
func (s *subscriptions) passOver(a ident.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid[a], s.planExpiry = time.Now().Add(avoidTime), time.Time{}
}

// hasParent reports whether a followed daemon has sent a notice in the last d.
func (s *subscriptions) hasParent(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.following {
		if sub.full && time.Since(sub.notice) < d {
			return true
		}
	}
	return false
}

// confirmationLeft returns how much longer this daemon relies on its parents; zero if it has to read the store.
func (n *Node) confirmationLeft() time.Duration {
	c := n.d.Config
	limit := c.maxStateAge(n.syncPlan(), n.subs.hasParent(2*c.confirmInterval()))
	return max(0, limit-n.subs.age())
}

// maintainSubscriptions keeps links to the parents open, and tells followers how current this daemon's state is.
func (n *Node) maintainSubscriptions() {
	check, confirm := time.NewTicker(planInterval), time.NewTicker(n.d.Config.confirmInterval())
	defer check.Stop()
	defer confirm.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-check.C:
			n.followParents(n.syncPlan())
		case <-n.subs.advanced:
			confirm.Reset(n.d.Config.confirmInterval())
			n.confirmState()
		case <-confirm.C:
			n.confirmState()
		}
	}
}

// confirmState tells followers how current this daemon's state is, and does what depends on that.
func (n *Node) confirmState() {
	n.confirmFollowers()
	n.tellParents()
	if _, ok := n.stateAge(); ok { // else the store may have entries that this daemon does not know
		n.peers.removeMissing(time.Now())
	}
	if n.Version() == 0 {
		n.requestState()
	}
}

// followParents subscribes to the daemons of plan and leaves others.
func (n *Node) followParents(plan syncPlan) {
	s := n.subs
	s.mu.Lock()
	defer s.mu.Unlock()
	hasFullParent := plan.tier == root
	subscribed := map[ident.Addr]bool{}
	now := time.Now()
	for c, sub := range s.following {
		subscribed[sub.addr] = true
		hasFullParent = hasFullParent || (sub.full && slices.Contains(plan.parents, sub.addr))
		if now.Sub(sub.notice) > n.d.Config.inForceShare(parentShare) {
			c.MarkSilent()
			delete(s.following, c)
			s.avoid[sub.addr], s.planExpiry = now.Add(avoidTime), time.Time{}
		}
	}
	for i, a := range plan.parents {
		if !subscribed[a] && !s.opening[a] {
			s.opening[a] = true
			n.wg.Go(func() { n.subscribeTo(a, i > 0) })
		}
	}
	if len(plan.parents) > 0 {
		n.upgradeFirst(plan.parents[0])
	}
	if !hasFullParent {
		return // others are left only when the new parents have sent their state
	}
	for c, sub := range s.following {
		if !slices.Contains(plan.parents, sub.addr) {
			delete(s.following, c)
			n.notify(c, &notice{Unsubscribe: true, Version: n.Version()})
		}
	}
}

// upgradeFirst requests all changes from the first parent, which may have been another one before. The caller holds
// n.subs.mu.
func (n *Node) upgradeFirst(a ident.Addr) {
	for c, sub := range n.subs.following {
		if sub.addr == a && sub.brief {
			sub.brief = false
			n.notify(c, &notice{Subscribe: true, Version: n.Version()})
		}
	}
}

// subscribeTo subscribes to the daemon at a; brief means that only confirmations are needed.
func (n *Node) subscribeTo(a ident.Addr, brief bool) {
	c, err := n.linkTo(n.ctx, a)
	s := n.subs
	s.mu.Lock()
	delete(s.opening, a)
	if err == nil {
		now := time.Now()
		s.following[c] = &subscription{addr: a, brief: brief, notice: now, current: now}
	}
	s.mu.Unlock()
	if err != nil {
		s.passOver(a)
		return
	}
	select {
	case <-c.Done():
		s.removeLink(c)
	default:
		n.notify(c, &notice{Subscribe: true, Brief: brief, Version: n.Version()})
	}
}
