package mesh

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
)

const (
	// readersPerDataCentre is how many daemons of a data centre read the store; the others follow them. A
	// configuration is some 100 KB, so this keeps the traffic between regions and the store's request rate
	// independent of the number of daemons. There are two so that losing one causes no delay.
	readersPerDataCentre = 2
	// freshnessInterval is how often a reader tells its followers that it is up to date with the store.
	freshnessInterval = 400 * time.Millisecond
	// freshnessTTL is how long such a message is valid. After that a follower reads the store itself, with
	// more than half of the shortest time left in which a configuration must be in force (2.5 s).
	freshnessTTL = 1200 * time.Millisecond
	// readerCheckInterval is how often a follower checks which daemons are the readers.
	readerCheckInterval = 100 * time.Millisecond
)

// readers tracks the readers that this daemon follows and the daemons that follow it.
type readers struct {
	mu          sync.Mutex
	following   map[*link.Conn]bool // true: the reader has sent its full state
	followers   map[*link.Conn]struct{}
	lastFresh   time.Time     // when a reader last reported that it is up to date
	readersLost chan struct{} // signals that the last followed reader is gone
}

func (r *readers) init() {
	r.following, r.followers = map[*link.Conn]bool{}, map[*link.Conn]struct{}{}
	r.readersLost = make(chan struct{}, 1)
}

// handleNotice applies a notice from a followed reader.
func (r *readers) handleNotice(n *Node, c *link.Conn, m *notice) {
	r.mu.Lock()
	_, ok := r.following[c]
	if ok && m.Full {
		r.following[c] = true
	}
	if ok && m.UpToDate && r.following[c] {
		r.lastFresh = time.Now()
	}
	r.mu.Unlock()
	if !ok {
		return
	}
	if m.Full {
		present := map[ident.Addr]bool{}
		for i := range m.Peers {
			present[m.Peers[i].Addr] = true
		}
		n.removeAbsentPeers(present)
	}
	for _, a := range m.Gone {
		n.handleRemoval(a)
	}
}

// freshnessLeft returns how much longer the last report of a reader is valid.
func (r *readers) freshnessLeft() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return freshnessTTL - time.Since(r.lastFresh)
}

// removeLink forgets a closed link.
func (r *readers) removeLink(c *link.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.followers, c)
	if _, ok := r.following[c]; !ok {
		return
	}
	delete(r.following, c)
	if len(r.following) == 0 {
		r.lastFresh = time.Time{}
		select {
		case r.readersLost <- struct{}{}:
		default:
		}
	}
}

// removeAbsentPeers clears the store entries of the other daemons that are not in present.
func (n *Node) removeAbsentPeers(present map[ident.Addr]bool) {
	for _, p := range n.peers.all(n.d.Self) {
		if !present[p.Addr] {
			n.peers.clearStored(p.Addr)
		}
	}
}

// handleRemoval handles the removal of the store entry of the daemon at a.
func (n *Node) handleRemoval(a ident.Addr) {
	if a == n.d.Self {
		n.markEntryMissing()
		return
	}
	n.peers.clearStored(a)
}

// storeReaders returns the daemons that read the store for this data centre. Rendezvous hashing makes all
// daemons select the same ones.
func (n *Node) storeReaders() []ident.Addr {
	var list []ident.Addr
	for _, p := range n.peers.all("") {
		if p.Place == n.d.Place && !p.Stopping {
			list = append(list, p.Addr)
		}
	}
	key := string(n.d.Place.DataCentre)
	slices.SortFunc(list, func(a, b ident.Addr) int {
		return cmp.Or(cmp.Compare(ident.RendezvousScore(key, b), ident.RendezvousScore(key, a)), cmp.Compare(a, b))
	})
	return list[:min(len(list), readersPerDataCentre)]
}

// isFollower reports whether this daemon follows the readers rather than reading the store.
func (n *Node) isFollower() bool { return !slices.Contains(n.storeReaders(), n.d.Self) }

// maintainSubscriptions keeps links to the readers open, and reports to followers whether this daemon is up
// to date.
func (n *Node) maintainSubscriptions() {
	check, confirm := time.NewTicker(readerCheckInterval), time.NewTicker(freshnessInterval)
	defer check.Stop()
	defer confirm.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-check.C:
			list := n.storeReaders()
			if slices.Contains(list, n.d.Self) {
				continue
			}
			for _, a := range list {
				go n.subscribeTo(a)
			}
		case <-confirm.C:
			n.notifyFollowers(&notice{UpToDate: n.upToDate(), Version: n.Version()})
		}
	}
}

// subscribeTo subscribes to the reader at a, once for each link.
func (n *Node) subscribeTo(a ident.Addr) {
	c, err := n.linkTo(n.ctx, a)
	if err != nil {
		return // retried at the next check
	}
	n.readers.mu.Lock()
	_, known := n.readers.following[c]
	if !known {
		n.readers.following[c] = false
	}
	n.readers.mu.Unlock()
	if known {
		return
	}
	select {
	case <-c.Done():
		n.readers.removeLink(c)
	default:
		n.notify(c, &notice{Subscribe: true, Version: n.Version()})
	}
}

// addFollower sends a follower the current state and registers it for all later changes.
func (n *Node) addFollower(c *link.Conn, has ident.Version) {
	n.readers.mu.Lock()
	n.readers.followers[c] = struct{}{}
	n.readers.mu.Unlock()
	n.sendState(c, has)
}

// notifyFollowers sends m to all followers.
func (n *Node) notifyFollowers(m *notice) {
	n.readers.mu.Lock()
	defer n.readers.mu.Unlock()
	for c := range n.readers.followers {
		n.notify(c, m)
	}
}
