package mesh

import (
	"errors"
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
	// shortWatchWait limits the first watch after batchDelay. If the store was restored meanwhile and has passed the
	// position again, only the answer shows it.
	shortWatchWait = 200 * time.Millisecond
)

// backOff waits after a failure, with exponential back-off and jitter. It reports false if the node was
// stopped.
func (n *Node) backOff(failures int) bool {
	d := min(maxBackoff, minBackoff<<min(failures, 4))
	return delay.Sleep(n.ctx, d/2+time.Duration(n.d.Random()*float64(d)/2))
}

// followStore keeps the configuration and peers in sync with the store, either by reading it or by following
// other daemons while they confirm that they are up to date.
func (n *Node) followStore() {
	n.bootstrap()
	failures := 0
	var after store.Position // from which to watch; revision zero: the state may lack changes
	wait := n.d.Config.WatchWait()
	historyLost := false
	for n.ctx.Err() == nil {
		if n.waitWhileConfirmed() {
			after, historyLost = store.Position{}, false
			continue
		}
		var err error
		known := n.resumePosition()
		switch {
		case after.Revision > 0:
			after, wait, err = n.watch(after, wait)
		case known.Revision > 0 && !historyLost:
			after, err = n.catchUp(known)
		default:
			after, err = n.readAll()
		}
		switch {
		case err == nil:
			failures, historyLost = 0, false
		case errors.Is(err, store.ErrCompacted):
			n.d.Log.Emit(event.HistoryLost, "Error", err)
			n.observeEra(n.d.Store.Era())
			failures, historyLost = 0, true // the store is available
			// The parents may read the whole state first. If all daemons of a region read it at once, they saturate
			// the link to the store for seconds.
			n.awaitConfirmation(time.Now().Add(maxBackoff + n.d.Config.confirmInterval()))
		default:
			failures++
			n.recordStoreResult(err)
			if !n.backOff(failures) {
				return
			}
		}
	}
}

// resumeAge is the age of the state up to which its changes are read after the store was unavailable, rather than
// the whole state. It is below the time for which stores usually keep their history.
const resumeAge = 15 * time.Second

// resumePosition returns the position from which the daemon's state lacks changes; zero if the whole state has to be
// read. It spares the links when many daemons lose their parents at once, or all of them the store.
func (n *Node) resumePosition() store.Position {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	if time.Since(n.lastConfirmed()) > resumeAge {
		return store.Position{}
	}
	return n.asOf.Later(n.watched)
}

// bootstrap finds the daemons to follow, and waits for the state of one. If all daemons started at once and each
// read the configuration from the store, they would saturate the links between the regions for seconds.
func (n *Node) bootstrap() {
	end := time.Now().Add(n.d.Config.BootstrapWait)
	for {
		began := time.Now()
		values, err := n.d.Store.StaleList(n.ctx, n.d.Keys.Peers)
		if err != nil {
			return // the first readAll reports the error
		}
		n.observeStoreLatency(time.Since(began))
		for _, v := range values {
			if v.Key != n.d.Keys.Peers+string(n.d.Self) {
				v.Revision = 0 // may be from before a restore, so it does not order entries
			}
			n.applyValue(v)
		}
		if n.peers.daemons() > 1 || time.Until(end) < staleRetryInterval {
			break
		}
		// All daemons may have just started, so that none has written its entry yet.
		if !delay.Sleep(n.ctx, staleRetryInterval) {
			return
		}
	}
	n.awaitConfirmation(end)
}

// awaitConfirmation waits until a parent confirms that it is up to date, or until end. A root has no parents.
func (n *Node) awaitConfirmation(end time.Time) {
	check := time.NewTicker(confirmationCheckInterval)
	defer check.Stop()
	for n.syncPlan().tier != root && n.confirmationLeft() <= 0 && time.Now().Before(end) {
		select {
		case <-check.C:
		case <-n.ctx.Done():
			return
		}
	}
}

const (
	// staleRetryInterval is the time between two reads of a daemon that finds no other at its start. Such a read
	// may be outdated by seconds, and costs a tenth of a usual one.
	staleRetryInterval = 400 * time.Millisecond
	// confirmationCheckInterval is how often a daemon that waits for the state checks whether it has received it.
	confirmationCheckInterval = 20 * time.Millisecond
)

// observeStoreLatency records how long a call to the store took, which tells how near the store is.
func (n *Node) observeStoreLatency(d time.Duration) {
	n.mu.Lock()
	nearer := n.storeLatency == 0 || d.Truncate(storeDistanceStep) < n.storeLatency.Truncate(storeDistanceStep)
	if nearer {
		n.storeLatency = max(d, 1)
		n.seq++
	}
	n.mu.Unlock()
	if nearer {
		n.updateSelf(n.self())
	}
}

// waitWhileConfirmed waits while a parent confirms that it is up to date, and reports whether one did.
func (n *Node) waitWhileConfirmed() bool {
	d := n.confirmationLeft()
	if d <= 0 {
		return false
	}
	n.readsStore.Store(false)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.subs.lost:
	case <-n.ctx.Done():
	}
	return true
}

// stateAge returns the age of the daemon's state, and whether it is recent enough for others to rely on. While a watch
// waits, the state ages too: the store may have stopped answering it.
func (n *Node) stateAge() (time.Duration, bool) {
	age := n.subs.age()
	if n.readsStore.Load() && n.storeReachable.Load() {
		age = min(age, time.Since(n.lastStoreReply.Load()))
	}
	return age, age < n.d.Config.followerMaxAge()
}

// recordStoreResult records the result of a store call whose changes are applied, and logs when the store is lost or
// regained.
func (n *Node) recordStoreResult(err error) {
	ok := err == nil
	if ok {
		n.readsStore.Store(true)
		n.lastStoreReply.Store(time.Now())
		n.subs.recordCurrent()
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

// readAll reads the whole state and returns the position from which to watch.
func (n *Node) readAll() (store.Position, error) {
	values, after, err := n.d.Store.Snapshot(n.ctx, n.d.Keys.WatchPrefix)
	if err != nil {
		return store.Position{}, err
	}
	n.observeEra(after.Era)
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	present := map[ident.Addr]bool{}
	for _, v := range values {
		if a, ok := n.applyValue(v); ok {
			present[a] = true
		}
	}
	gone := n.peers.removeAbsent(n.d.Self, present, after)
	if !present[n.d.Self] {
		n.markEntryMissing(after)
	}
	n.asOf = n.asOf.Later(after)
	m := &notice{Peers: n.peers.all(""), Gone: gone, Full: true, UpToDate: true, Version: n.Version()}
	m.setPosition(after)
	n.notifyFollowers(m)
	n.recordStoreResult(nil)
	after.Revision = max(1, after.Revision)
	return after, nil
}

// catchUp applies the changes since a position without waiting for one, and returns the position from which to watch.
func (n *Node) catchUp(after store.Position) (store.Position, error) {
	changes, next, err := n.d.Store.Follow(n.ctx, n.d.Keys.WatchPrefix, after, 0)
	if err != nil {
		return store.Position{}, err
	}
	n.applyChanges(changes, next)
	return after.Later(next), nil
}

// watch waits for the next changes and applies them. It returns the position from which to continue, zero after an
// error, and how long the next watch waits.
func (n *Node) watch(after store.Position, wait time.Duration) (store.Position, time.Duration, error) {
	longWait := n.d.Config.WatchWait()
	changes, next, err := n.d.Store.Follow(n.ctx, n.d.Keys.WatchPrefix, after, wait)
	if err != nil {
		return store.Position{}, longWait, err
	}
	if len(changes) > 0 {
		n.applyChanges(changes, next)
		n.waitForBatch()
		return after.Later(next), shortWatchWait, nil
	}
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	n.watched = after.Later(next)
	n.recordStoreResult(nil)
	return n.watched, longWait, nil
}

// applyChanges applies changes of the store, if any, and tells the followers. Of several configurations only the last is used.
func (n *Node) applyChanges(changes []store.Change, asOf store.Position) {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	m := &notice{UpToDate: true}
	var config *store.Value
	for i, c := range changes {
		if c.Deleted {
			if a, ok := n.peerAddr(c.Key); ok {
				n.handleRemoval(a, c.Position())
				m.Gone = append(m.Gone, newRemovedPeer(a, c.Position()))
			}
			continue
		}
		if c.Key == n.d.Keys.Config {
			config = &changes[i].Value
			continue
		}
		a, ok := n.applyValue(c.Value)
		if !ok {
			if a != "" { // counts as absent, and its daemon writes it again
				m.Gone = append(m.Gone, newRemovedPeer(a, c.Position()))
			}
			continue
		}
		if p, ok := n.peers.get(a); ok {
			m.Peers = append(m.Peers, newStoredPeer(p, c.Position()))
		}
	}
	if config != nil {
		n.applyValue(*config)
	}
	n.asOf = n.asOf.Later(asOf)
	m.Version = n.Version()
	m.setPosition(n.asOf)
	n.notifyFollowers(m)
	n.recordStoreResult(nil)
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

// applyValue applies a value from the store. It returns the daemon's address if the key is that of a peer entry, and
// whether it holds one. Another one, which another writer left there, counts as absent.
func (n *Node) applyValue(v store.Value) (ident.Addr, bool) {
	if v.Key == n.d.Keys.Config {
		n.adopt(v.Data, delta{}, "Store", v.Key)
		return "", false
	}
	addr, ok := n.peerAddr(v.Key)
	if !ok {
		return "", false
	}
	var p Peer
	if err := wire.Decode(v.Data, &p); err != nil || p.Addr != addr || !p.plausible(n.d.Now()) {
		n.d.Log.Emit(event.EntryUnreadable, "Key", v.Key, "Revision", v.Revision, "Error", err)
		n.handleRemoval(addr, v.Position())
		return addr, false
	}
	if addr == n.d.Self {
		n.updateOwnEntry(p, v.Position())
		return addr, true
	}
	n.applyEntry(p, v.Position())
	return addr, true
}
