package mesh

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/link"
)

// addFollower registers a follower for all later changes and sends it the current state, unless it needs only
// confirmations. A daemon that has no state yet sends it as soon as it has received it.
func (n *Node) addFollower(c *link.Conn, m *notice) {
	n.subs.mu.Lock()
	n.subs.followers[c] = m.Brief
	n.subs.mu.Unlock()
	n.stateMu.Lock()
	hasState := n.asOf.Revision > 0 || n.Version() > m.Version
	n.stateMu.Unlock()
	if !m.Brief && hasState {
		n.sendState(c, m.Version)
	}
}

func (n *Node) removeFollower(c *link.Conn) {
	n.subs.mu.Lock()
	defer n.subs.mu.Unlock()
	delete(n.subs.followers, c)
}

func (n *Node) hasFollowers() bool {
	n.subs.mu.Lock()
	defer n.subs.mu.Unlock()
	for _, brief := range n.subs.followers {
		if !brief {
			return true
		}
	}
	return false
}

// confirmFollowers tells all followers how current this daemon's state is.
func (n *Node) confirmFollowers() {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	m := n.confirmation()
	n.subs.recordTold(m.Age)
	n.sendFollowers(m, true)
}

// recordTold records that followers are told that the state was that of the store age ago.
func (s *subscriptions) recordTold(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = time.Now().Add(-age)
}

// notifyFollowers sends changes to the followers that want them.
func (n *Node) notifyFollowers(m *notice) { n.sendFollowers(m, false) }

// sendFollowers sends m to the followers, to the brief ones only if it is a confirmation. A follower that does not
// read its link is disconnected: it has missed a change, and gets the full state when it subscribes again.
func (n *Node) sendFollowers(m *notice, confirmation bool) {
	b, err := m.encode()
	if err != nil {
		n.d.Log.Emit(event.CallUnencodable, "Error", err)
		return
	}
	n.subs.mu.Lock()
	defer n.subs.mu.Unlock()
	for c, brief := range n.subs.followers {
		if (confirmation || !brief) && !c.Notify(b) {
			delete(n.subs.followers, c)
			go c.Close()
		}
	}
}

// confirmation returns a notice that tells how current this daemon's state is. The caller holds n.stateMu.
func (n *Node) confirmation() *notice {
	age, ok := n.stateAge()
	m := &notice{UpToDate: ok, Age: age, Version: n.Version()}
	m.setPosition(n.asOf)
	return m
}
