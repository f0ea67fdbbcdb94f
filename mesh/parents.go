package mesh

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/link"
)

// tellParents tells the parents that have an older configuration than this daemon that there is a newer one. A root
// follows no other daemon, so nothing else tells it while the store does not answer it. A parent is told only if its state
// is older than it becomes in normal operation, when it gets the configuration itself, and once for each version; again
// after Config.InForce. So a daemon sends a few bytes to each of its parents, however many daemons there are.
func (n *Node) tellParents() {
	v, now := n.Version(), time.Now()
	n.subs.mu.Lock()
	defer n.subs.mu.Unlock()
	for c, sub := range n.subs.following {
		switch {
		case sub.version >= v || now.Sub(sub.current) <= n.d.Config.inForceShare(lagShare):
		case sub.toldVersion == v && now.Sub(sub.toldAt) < n.d.Config.InForce:
		default:
			sub.toldVersion, sub.toldAt = v, now
			n.d.Stats.Inc("Config.ParentTold")
			n.notify(c, &notice{Version: v})
		}
	}
}

// requestVersion requests the state of the daemon over c, which has a newer configuration, if this daemon is a root that
// the store does not answer. Others get it from their parents or the store. Several daemons tell a root, so it requests
// the state of one of them at a time.
func (n *Node) requestVersion(c *link.Conn) {
	cfg := n.d.Config
	if age, _ := n.stateAge(); n.syncPlan().tier != root || age <= cfg.inForceShare(lagShare) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.versionRequested) < cfg.confirmInterval() {
		return
	}
	n.versionRequested = time.Now()
	n.d.Stats.Inc("Config.RootRequest")
	n.notify(c, &notice{Version: n.Version(), WantState: true})
}
