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
	// readersPerDataCentre is how many daemons of a data centre follow the store. The others follow these: a
	// configuration is some 100 KB, and the links between regions and the store's rates do not grow with
	// the daemons. Two, so that the loss of one delays nothing.
	readersPerDataCentre = 2
	// vouchEvery is the period in which a reader tells its followers that it has what the store holds.
	vouchEvery = 400 * time.Millisecond
	// vouchFor is how long a reader's word lasts. Then a follower reads the store itself, which leaves it more
	// than half of the shortest time in which a configuration has to be in force (2.5 s).
	vouchFor = 1200 * time.Millisecond
	// subscribeEvery is the period in which a daemon looks for the readers that it follows.
	subscribeEvery = 100 * time.Millisecond
)

// readers is what a daemon knows of the readers of its data centre, and of those that follow it.
type readers struct {
	mu        sync.Mutex
	following map[*link.Conn]bool // true: has sent its full state
	followers map[*link.Conn]struct{}
	vouched   time.Time     // when a reader last said that it is fresh
	lapse     chan struct{} // a reader that was followed is gone
}

func (r *readers) init() {
	r.following, r.followers = map[*link.Conn]bool{}, map[*link.Conn]struct{}{}
	r.lapse = make(chan struct{}, 1)
}

// heard takes what a reader says.
func (r *readers) heard(n *Node, c *link.Conn, m *notice) {
	r.mu.Lock()
	_, ok := r.following[c]
	if ok && m.Full {
		r.following[c] = true
	}
	if ok && m.Fresh && r.following[c] {
		r.vouched = time.Now()
	}
	r.mu.Unlock()
	if !ok {
		return
	}
	if m.Full {
		there := map[ident.Addr]bool{}
		for i := range m.Peers {
			there[m.Peers[i].Addr] = true
		}
		n.dropAbsent(there)
	}
	for _, a := range m.Gone {
		n.forget(a)
	}
}

// vouchedFor returns for how much longer a reader's word lasts.
func (r *readers) vouchedFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return vouchFor - time.Since(r.vouched)
}

// ended removes a link.
func (r *readers) ended(c *link.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.followers, c)
	if _, ok := r.following[c]; !ok {
		return
	}
	delete(r.following, c)
	if len(r.following) == 0 {
		r.vouched = time.Time{}
		select {
		case r.lapse <- struct{}{}:
		default:
		}
	}
}

// dropAbsent forgets the other daemons whose entries the store does not hold.
func (n *Node) dropAbsent(there map[ident.Addr]bool) {
	for _, p := range n.roster.all(n.d.Self) {
		if !there[p.Addr] {
			n.roster.unstored(p.Addr)
		}
	}
}

// forget takes that the store no longer holds the entry of the daemon at a.
func (n *Node) forget(a ident.Addr) {
	if a == n.d.Self {
		n.lapsed()
		return
	}
	n.roster.unstored(a)
}

// readersOf returns the daemons that follow the store for the data centre of this one, by rendezvous hashing, so
// that all daemons name the same ones.
func (n *Node) readersOf() []ident.Addr {
	var list []ident.Addr
	for _, p := range n.roster.all("") {
		if p.Place == n.d.Place && !p.Stopping {
			list = append(list, p.Addr)
		}
	}
	key := string(n.d.Place.DataCentre)
	slices.SortFunc(list, func(a, b ident.Addr) int {
		return cmp.Or(cmp.Compare(ident.Rank(key, b), ident.Rank(key, a)), cmp.Compare(a, b))
	})
	return list[:min(len(list), readersPerDataCentre)]
}

// isFollower reports whether this daemon leaves the store to the readers.
func (n *Node) isFollower() bool { return !slices.Contains(n.readersOf(), n.d.Self) }

// subscribe keeps links to the readers, and tells followers whether this daemon is fresh.
func (n *Node) subscribe() {
	look, vouch := time.NewTicker(subscribeEvery), time.NewTicker(vouchEvery)
	defer look.Stop()
	defer vouch.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-look.C:
			list := n.readersOf()
			if slices.Contains(list, n.d.Self) {
				continue
			}
			for _, a := range list {
				go n.followReader(a)
			}
		case <-vouch.C:
			n.tellFollowers(&notice{Fresh: n.fresh(), Version: n.Version()})
		}
	}
}

// followReader asks the reader at a for all that it learns, once on each link.
func (n *Node) followReader(a ident.Addr) {
	c, err := n.linkTo(n.ctx, a)
	if err != nil {
		return // the next look tries again
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
		n.readers.ended(c)
	default:
		n.notify(c, &notice{Follow: true, Version: n.Version()})
	}
}

// serveFollower sends a follower what it needs, and all changes from now on.
func (n *Node) serveFollower(c *link.Conn, has ident.Version) {
	n.readers.mu.Lock()
	n.readers.followers[c] = struct{}{}
	n.readers.mu.Unlock()
	n.teach(c, has)
}

// tellFollowers sends m to all followers.
func (n *Node) tellFollowers(m *notice) {
	n.readers.mu.Lock()
	defer n.readers.mu.Unlock()
	for c := range n.readers.followers {
		n.notify(c, m)
	}
}
