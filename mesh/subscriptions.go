package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
)

const (
	// confirmInterval is how often a daemon tells its followers how current its state is.
	confirmInterval = 400 * time.Millisecond
	// relayMaxAge is the age of the last confirmation after which a relay reads the store itself. More than
	// half of the shortest time is left in which a configuration must be in force (2.5 s).
	relayMaxAge = 1200 * time.Millisecond
	// followerMaxAge is the same for a follower. It is longer, so that the relays of its data centre read the
	// store first and confirm their state to it.
	followerMaxAge = 1600 * time.Millisecond
	// unavailableMaxAge is the same for a follower whose parents are there, but do not reach the store either.
	unavailableMaxAge = 2800 * time.Millisecond
	// parentTimeout is the silence after which a parent counts as gone; some confirmations may be late or lost.
	parentTimeout = 4 * confirmInterval
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
	// behindSince is when a confirmation first showed that this daemon's state lacks changes; zero: it does not.
	behindSince time.Time
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

	plan       syncPlan
	planOf     uint64    // generation of the peer list for which plan was made
	planExpiry time.Time // when plan has to be made again
}

func newSubscriptions() *subscriptions {
	return &subscriptions{
		following: map[*link.Conn]*subscription{}, opening: map[ident.Addr]bool{}, followers: map[*link.Conn]bool{},
		avoid: map[ident.Addr]time.Time{}, lost: make(chan struct{}, 1),
	}
}

// received records a notice over c, and reports whether this daemon follows the sender.
func (s *subscriptions) received(c *link.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := s.following[c]
	if sub == nil {
		return false
	}
	sub.notice = time.Now()
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

// recordBehind records whether a confirmation over c shows that this daemon's state lacks changes, and reports
// whether that has been so for behindTimeout. The parent is then asked for its state.
func (s *subscriptions) recordBehind(c *link.Conn, behind bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := s.following[c]
	switch now := time.Now(); {
	case sub == nil || !sub.brief:
	case !behind:
		sub.behindSince = time.Time{}
	case sub.behindSince.IsZero():
		sub.behindSince = now
	case now.Sub(sub.behindSince) > behindTimeout:
		sub.brief, sub.behindSince = false, time.Time{}
		return true
	}
	return false
}

// confirm records that the state was that of the store age ago.
func (s *subscriptions) confirm(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := time.Now().Add(-age); at.After(s.confirmed) {
		s.confirmed, s.current = at, at
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

// maxStateAge returns the age of the last confirmation after which this daemon reads the store itself.
func (n *Node) maxStateAge() time.Duration {
	switch n.syncPlan().tier {
	case root:
		return 0
	case relay:
		return relayMaxAge
	default:
		if n.subs.hasParent() {
			return unavailableMaxAge
		}
		return followerMaxAge
	}
}

// hasParent reports whether a followed daemon has sent a notice lately.
func (s *subscriptions) hasParent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.following {
		if sub.full && time.Since(sub.notice) < 2*confirmInterval {
			return true
		}
	}
	return false
}

// confirmationLeft returns how much longer this daemon relies on its parents; zero if it has to read the store.
func (n *Node) confirmationLeft() time.Duration { return max(0, n.maxStateAge()-n.subs.age()) }

// maintainSubscriptions keeps links to the parents open, and tells followers how current this daemon's state is.
func (n *Node) maintainSubscriptions() {
	check, confirm := time.NewTicker(planInterval), time.NewTicker(confirmInterval)
	defer check.Stop()
	defer confirm.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-check.C:
			n.followParents(n.syncPlan())
		case <-confirm.C:
			n.stateMu.Lock()
			n.confirmFollowers()
			n.stateMu.Unlock()
			if _, ok := n.stateAge(); ok { // else the store may have entries that this daemon does not know
				n.peers.removeMissing(time.Now())
			}
			if n.Version() == 0 {
				n.requestState()
			}
		}
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
		if now.Sub(sub.notice) > parentTimeout {
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
		s.following[c] = &subscription{addr: a, brief: brief, notice: time.Now()}
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
