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
	// minBackoff and maxBackoff limit the wait after a failed store call. Entries must be restored within two
	// seconds of the store's recovery, and all daemons together must stay far below its rate limits.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 900 * time.Millisecond
	// batchDelay lets changes in quick succession arrive in one watch, because each watch is a call to the
	// store. It is a fifth of the time in which a configuration must be in force.
	batchDelay = 500 * time.Millisecond
)

// backOff waits after a failure, with exponential back-off and jitter. It reports false if the node was
// stopped.
func (n *Node) backOff(failures int) bool {
	d := min(maxBackoff, minBackoff<<min(failures, 4))
	return delay.Sleep(n.ctx, d/2+time.Duration(n.d.Random()*float64(d)/2))
}

// followStore keeps the configuration and peers in sync with the store, either by reading it or by following
// the readers of the data centre while they report that they are up to date.
func (n *Node) followStore() {
	n.bootstrap()
	failures, after := 0, int64(0)
	for n.ctx.Err() == nil {
		if n.waitWhileReadersFresh() {
			after = 0 // changes may have been missed, so read the whole state
			continue
		}
		var err error
		if after == 0 {
			after, err = n.readAll()
		} else if after, err = n.watch(after); errors.Is(err, store.ErrCompacted) {
			n.d.Log.Emit(event.HistoryLost, "After", after)
			after = 0
			continue
		}
		if err == nil {
			failures = 0
			n.recordStoreResult(nil)
			continue
		}
		// Changes may have been compacted away, and a lease may have expired.
		failures++
		n.recordStoreResult(err)
		if !n.backOff(failures) {
			return
		}
	}
}

// bootstrapTimeout is how long a starting daemon waits for the configuration from a reader before it reads
// the store itself.
const bootstrapTimeout = time.Second

// bootstrap loads the daemons of the data centre first. If all daemons started at once and each read the
// configuration, they would saturate the links between the regions for seconds.
func (n *Node) bootstrap() {
	values, _, err := n.d.Store.Snapshot(n.ctx, n.d.Keys.Peers)
	if err != nil {
		return // the first readAll reports the error
	}
	for _, v := range values {
		n.applyValue(v)
	}
	t := time.NewTimer(bootstrapTimeout)
	defer t.Stop()
	check := time.NewTicker(bootstrapTimeout / 50)
	defer check.Stop()
	for n.isFollower() && n.readers.freshnessLeft() <= 0 {
		select {
		case <-check.C:
		case <-t.C:
			return
		case <-n.ctx.Done():
			return
		}
	}
}

// waitWhileReadersFresh waits while a reader reports that it is up to date, and reports whether one did.
func (n *Node) waitWhileReadersFresh() bool {
	if !n.isFollower() {
		return false
	}
	d := n.readers.freshnessLeft()
	if d <= 0 {
		return false
	}
	n.readsStore.Store(false)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.readers.readersLost:
	case <-n.ctx.Done():
	}
	return true
}

// upToDate reports whether this daemon reads the store itself and is in sync with it.
func (n *Node) upToDate() bool {
	last := time.Unix(0, n.lastStoreReply.Load())
	return n.readsStore.Load() && n.storeReachable.Load() && time.Since(last) < n.d.Config.WatchWait()+watchReplyMargin
}

// watchReplyMargin is how late the reply to a watch may arrive after its wait.
const watchReplyMargin = 500 * time.Millisecond

// recordStoreResult records the result of a store call, and logs when the store is lost or regained.
func (n *Node) recordStoreResult(err error) {
	ok := err == nil
	if ok {
		n.readsStore.Store(true)
		n.lastStoreReply.Store(time.Now().UnixNano())
	}
	if n.storeReachable.Swap(ok) == ok {
		return
	}
	if ok {
		n.d.Log.Emit(event.StoreRegained, "Version", n.Version())
		return
	}
	n.d.Log.Emit(event.StoreLost, "Error", err, "Version", n.Version())
}

// readAll reads the whole state and returns the revision from which to watch.
func (n *Node) readAll() (int64, error) {
	before := n.Version()
	values, after, err := n.d.Store.Snapshot(n.ctx, n.d.Keys.WatchPrefix)
	if err != nil {
		return 0, err
	}
	present := map[ident.Addr]bool{}
	for _, v := range values {
		if a, ok := n.applyValue(v); ok {
			present[a] = true
		}
	}
	n.removeAbsentPeers(present)
	if !present[n.d.Self] {
		n.markEntryMissing()
	}
	m := &notice{Peers: n.peers.all(n.d.Self), Full: true, UpToDate: true, Version: n.Version()}
	n.notifyFollowers(n.withConfig(m, before))
	return max(1, after), nil
}

// withConfig adds the configuration to m if it is newer than before.
func (n *Node) withConfig(m *notice, before ident.Version) *notice {
	if m.Version > before {
		m.Config = n.compressedConfig()
	}
	return m
}

// watch applies the next changes and returns the revision from which to continue.
func (n *Node) watch(after int64) (int64, error) {
	changes, next, err := n.d.Store.Follow(n.ctx, n.d.Keys.WatchPrefix, after, n.d.Config.WatchWait())
	if err != nil {
		return after, err
	}
	if len(changes) == 0 {
		return max(after, next), nil
	}
	before := n.Version()
	m := &notice{UpToDate: true}
	for _, c := range changes {
		if c.Deleted {
			if a, ok := n.peerAddr(c.Key); ok {
				n.handleRemoval(a)
				m.Gone = append(m.Gone, a)
			}
			continue
		}
		if a, ok := n.applyValue(c.Value); ok {
			m.Gone = slices.DeleteFunc(m.Gone, func(x ident.Addr) bool { return x == a })
			if p, ok := n.peers.get(a); ok {
				m.Peers = append(m.Peers, p)
			}
		}
	}
	m.Version = n.Version()
	n.notifyFollowers(n.withConfig(m, before))
	n.waitForBatch()
	return max(after, next), nil
}

// waitForBatch waits for further changes, unless another daemon has a newer configuration.
func (n *Node) waitForBatch() {
	select { // discard an outdated signal
	case <-n.newerVersion:
	default:
	}
	t := time.NewTimer(batchDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.newerVersion:
	case <-n.ctx.Done():
	}
}

// peerAddr returns the address of the daemon whose entry has this key.
func (n *Node) peerAddr(key string) (ident.Addr, bool) {
	a, ok := strings.CutPrefix(key, n.d.Keys.Peers)
	return ident.Addr(a), ok && a != ""
}

// applyValue applies a value from the store. It returns the daemon's address if it is a peer entry.
func (n *Node) applyValue(v store.Value) (ident.Addr, bool) {
	if v.Key == n.d.Keys.Config {
		n.adopt(v.Data, "Store", v.Key)
		return "", false
	}
	addr, ok := n.peerAddr(v.Key)
	if !ok {
		return "", false
	}
	var p Peer
	if err := wire.Decode(v.Data, &p); err != nil || p.Addr != addr {
		n.d.Log.Emit(event.EntryUnreadable, "Key", v.Key, "Revision", v.Revision, "Error", err)
		return "", false
	}
	if addr == n.d.Self {
		n.updateOwnEntry(p, v.Revision)
		return addr, true
	}
	n.updatePeer(p, false)
	n.peers.setStored(addr, v.Revision)
	return addr, true
}
