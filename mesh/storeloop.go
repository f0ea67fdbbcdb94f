package mesh

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/store"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

const (
	// leastPause and mostPause bound the wait after a failed call to the store. Entries have to be back two
	// seconds after its return, and all daemons together stay far below its rates.
	leastPause = 100 * time.Millisecond
	mostPause  = 900 * time.Millisecond
	// gatherPause lets changes that follow each other closely arrive with one watch: each watch is a call to
	// the store. It is a fifth of the time in which a configuration has to be in force.
	gatherPause = 500 * time.Millisecond
)

// pause waits after a failure, longer after several, with jitter.
func (n *Node) pause(failures int) bool {
	d := min(mostPause, leastPause<<min(failures, 4))
	return delay.Sleep(n.ctx, d/2+time.Duration(n.d.Random()*float64(d)/2))
}

// follow keeps configuration and roster in line with the store: by reading it, or by following the readers of
// the data centre as long as they vouch for what they know.
func (n *Node) follow() {
	n.begin()
	failures, after := 0, int64(0)
	for n.ctx.Err() == nil {
		if n.awaitReaders() {
			after = 0 // what changed meanwhile is read as a whole
			continue
		}
		var err error
		if after == 0 {
			after, err = n.read()
		} else if after, err = n.watch(after); errors.Is(err, store.ErrCompacted) {
			n.d.Log.Emit(event.HistoryLost, "After", after)
			after = 0
			continue
		}
		if err == nil {
			failures = 0
			n.storeState(nil)
			continue
		}
		// What changed meanwhile may be gone from the history, and a lease may have ended.
		failures++
		n.storeState(err)
		if !n.pause(failures) {
			return
		}
	}
}

// startWait is how long a daemon that starts waits for the configuration from a reader, before it reads
// the store itself.
const startWait = time.Second

// begin learns the daemons of the data centre first. When all daemons start at once, each reading the
// configuration would fill the links between the regions for seconds.
func (n *Node) begin() {
	values, _, err := n.d.Store.Snapshot(n.ctx, n.d.Keys.Peers)
	if err != nil {
		return // the first read says so
	}
	for _, v := range values {
		n.takeValue(v)
	}
	t := time.NewTimer(startWait)
	defer t.Stop()
	look := time.NewTicker(startWait / 50)
	defer look.Stop()
	for n.isFollower() && n.readers.vouchedFor() <= 0 {
		select {
		case <-look.C:
		case <-t.C:
			return
		case <-n.ctx.Done():
			return
		}
	}
}

// awaitReaders waits while a reader vouches for what this daemon knows, and reports whether one did.
func (n *Node) awaitReaders() bool {
	if !n.isFollower() {
		return false
	}
	d := n.readers.vouchedFor()
	if d <= 0 {
		return false
	}
	n.reading.Store(false)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.readers.lapse:
	case <-n.ctx.Done():
	}
	return true
}

// fresh reports whether this daemon reads the store itself and has what it holds.
func (n *Node) fresh() bool {
	last := time.Unix(0, n.answered.Load())
	return n.reading.Load() && n.synced.Load() && time.Since(last) < n.d.Config.WatchWait()+freshMargin
}

// freshMargin is how long the answer to a watch may come after its wait.
const freshMargin = 500 * time.Millisecond

// storeState takes the outcome of a call to the store, and logs that it was lost or is back.
func (n *Node) storeState(err error) {
	ok := err == nil
	if ok {
		n.reading.Store(true)
		n.answered.Store(time.Now().UnixNano())
	}
	if n.synced.Swap(ok) == ok {
		return
	}
	if ok {
		n.d.Log.Emit(event.StoreRegained, "Version", n.Version())
		return
	}
	n.d.Log.Emit(event.StoreLost, "Error", err, "Version", n.Version())
}

// read takes the whole state and returns the revision from which to watch.
func (n *Node) read() (int64, error) {
	before := n.Version()
	values, after, err := n.d.Store.Snapshot(n.ctx, n.d.Keys.Both)
	if err != nil {
		return 0, err
	}
	there := map[ident.Addr]bool{}
	for _, v := range values {
		if a, ok := n.takeValue(v); ok {
			there[a] = true
		}
	}
	n.dropAbsent(there)
	if !there[n.d.Self] {
		n.lapsed()
	}
	m := &notice{Peers: n.roster.all(n.d.Self), Full: true, Fresh: true, Version: n.Version()}
	n.tellFollowers(n.withConfig(m, before))
	return max(1, after), nil
}

// withConfig adds the configuration to m if it is later than before.
func (n *Node) withConfig(m *notice, before ident.Version) *notice {
	if m.Version > before {
		m.Config = n.packed()
	}
	return m
}

// watch takes the next changes and returns the revision from which to go on.
func (n *Node) watch(after int64) (int64, error) {
	changes, next, err := n.d.Store.Follow(n.ctx, n.d.Keys.Both, after, n.d.Config.WatchWait())
	if err != nil {
		return after, err
	}
	if len(changes) == 0 {
		return max(after, next), nil
	}
	before := n.Version()
	m := &notice{Fresh: true}
	for _, c := range changes {
		if c.Gone {
			if a, ok := n.peerOf(c.Key); ok {
				n.forget(a)
				m.Gone = append(m.Gone, a)
			}
			continue
		}
		if a, ok := n.takeValue(c.Value); ok {
			m.Gone = slices.DeleteFunc(m.Gone, func(x ident.Addr) bool { return x == a })
			if p, ok := n.roster.get(a); ok {
				m.Peers = append(m.Peers, p)
			}
		}
	}
	m.Version = n.Version()
	n.tellFollowers(n.withConfig(m, before))
	n.gather()
	return max(after, next), nil
}

// gather waits for changes that follow closely, unless another daemon has a later configuration.
func (n *Node) gather() {
	select { // an older hint is of no use
	case <-n.hurry:
	default:
	}
	t := time.NewTimer(gatherPause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.hurry:
	case <-n.ctx.Done():
	}
}

// peerOf returns the daemon whose entry key is.
func (n *Node) peerOf(key string) (ident.Addr, bool) {
	a, ok := strings.CutPrefix(key, n.d.Keys.Peers)
	return ident.Addr(a), ok && a != ""
}

// takeValue takes a value of the store. It returns the daemon whose entry it is.
func (n *Node) takeValue(v store.Value) (ident.Addr, bool) {
	if v.Key == n.d.Keys.Config {
		n.adopt(v.Data, "Store", v.Key)
		return "", false
	}
	addr, ok := n.peerOf(v.Key)
	if !ok {
		return "", false
	}
	var p Peer
	if err := wire.Decode(v.Data, &p); err != nil || p.Addr != addr {
		n.d.Log.Emit(event.EntryUnreadable, "Key", v.Key, "Revision", v.Revision, "Error", err)
		return "", false
	}
	if addr == n.d.Self {
		n.takeOwn(p, v.Revision)
		return addr, true
	}
	n.learn(p, false)
	n.roster.stored(addr, v.Revision)
	return addr, true
}
