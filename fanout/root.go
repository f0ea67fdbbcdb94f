package fanout

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// root runs the node's part in the election of its region's root. The lease only limits how many
// nodes watch head: a node that wrongly believes it holds the lease does no harm, since the data
// it forwards is versioned and hashed like any other.
type root struct {
	node *Node

	mu            sync.Mutex
	lease         RootLease // own lease; zero if not held
	rootAddrs     map[ident.Region]ident.Addr
	lastRead      map[ident.Region]time.Time
	revisions     map[ident.Region]int64
	lastRenewed   time.Time
	cancel        context.CancelFunc // stops the goroutine that follows head
	readFromStore bool               // the own region's root was read from the store, not learnt from a daemon
	suspected     ident.Addr         // known root that denied being root or stopped responding
	wake          chan struct{}      // wakes run when a root is suspected
}

func newRoot(node *Node) *root {
	return &root{node: node, rootAddrs: map[ident.Region]ident.Addr{}, lastRead: map[ident.Region]time.Time{}, revisions: map[ident.Region]int64{}, wake: make(chan struct{}, 1)}
}

func (r *root) holdsLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Addr != ""
}

// knownRoot returns the last known address of the region's root, or "" if unknown.
func (r *root) knownRoot(region ident.Region) ident.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rootAddrs[region]
}

// setUnconfirmed sets the own region's root as reported by another daemon, until it is read from
// the store. The report may be outdated.
func (r *root) setUnconfirmed(addr ident.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	region := r.node.deps.Place.Region
	if r.rootAddrs[region] == "" && addr != r.node.deps.Addr {
		r.rootAddrs[region], r.readFromStore = addr, false
	}
}

func (r *root) run(ctx context.Context) {
	for r.waitForStep(ctx) {
		r.step(ctx)
	}
	r.stepDown()
}

// waitForStep waits for the next step. It returns false if ctx ended. The random interval keeps
// the forwarders of a region from competing for the key at the same time.
func (r *root) waitForStep(ctx context.Context) bool {
	t := time.NewTimer(400*time.Millisecond + r.node.deps.Jitter.Duration(400*time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-r.wake:
		return delay.Sleep(ctx, r.node.deps.Jitter.Duration(50*time.Millisecond))
	case <-t.C:
		return true
	}
}

// reportSuspect marks addr as suspected if it is the known root of the region. Callers use it if
// addr denied being root or stopped responding.
func (r *root) reportSuspect(addr ident.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr == "" || r.rootAddrs[r.node.deps.Place.Region] != addr || addr == r.node.deps.Addr {
		return
	}
	r.suspected = addr
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *root) isReadFromStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readFromStore
}

func (r *root) suspectedAddr() ident.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspected
}

func (r *root) step(ctx context.Context) {
	switch {
	case !r.node.isForwarder():
		r.stepDown()
	case r.holdsLease():
		r.maintainLease(ctx)
	default:
		r.findOrReplaceRoot(ctx)
	}
}

// maintainLease renews the lease and steps down if another node has taken the key.
func (r *root) maintainLease(ctx context.Context) {
	if store := r.node.deps.StoreRegion; store != r.node.deps.Place.Region {
		if r.readDue(store, rootReadInterval) || !r.upstreamResponds() {
			r.refreshRoot(ctx, store)
		}
	}
	r.mu.Lock()
	lease, due := r.lease, time.Since(r.lastRenewed) >= leaseRenewInterval
	if due {
		r.lastRenewed = time.Now()
	}
	r.mu.Unlock()
	if !due {
		return
	}
	// A failed renewal does not mean that the lease is lost; only the key shows that.
	if err := withStoreTimeout(ctx, func(ctx context.Context) error { return r.node.deps.Store.RenewRoot(ctx, lease) }); err != nil {
		r.node.deps.Stats.Inc("Fanout.RootRenewFailed")
	}
	cur, err := r.readRoot(ctx, r.node.deps.Place.Region)
	if err == nil && cur.Addr == r.node.deps.Addr && r.node.deps.Place.Region == r.node.deps.StoreRegion {
		r.checkHead(ctx)
	}
	if err != nil || cur.Addr == r.node.deps.Addr {
		return
	}
	if cur.Addr != "" {
		r.endLease("lease lost")
		return
	}
	// The lease has expired, for example after an outage of the store, and no node has taken the
	// key.
	if lease, err := r.acquireLease(ctx, cur); err == nil {
		r.mu.Lock()
		r.lease, r.lastRenewed = lease, time.Now()
		r.mu.Unlock()
	}
}

// checkHead reads head, since a watch on a hanging connection looks the same as an idle watch.
func (r *root) checkHead(ctx context.Context) {
	v, err := r.readHead(ctx)
	if err != nil || v <= r.node.Version() {
		return
	}
	r.node.deps.Stats.Inc("Fanout.WatchMissed")
	if err := r.loadAgreement(ctx); err != nil {
		r.reportUnreadableHead(ctx, err)
	}
}

// watchTimeout limits a single watch, so that a hanging one is replaced.
const watchTimeout = time.Minute

// upstreamResponds reports whether the upstream is the root of the store's region and responds.
func (r *root) upstreamResponds() bool {
	up := r.node.subscriber.connectedUpstream()
	return up != "" && up == r.knownRoot(r.node.deps.StoreRegion) && r.node.subscriber.silence() < upstreamSilenceTimeout
}

// findOrReplaceRoot looks up the region's root and tries to replace it if it is absent or
// unreachable.
func (r *root) findOrReplaceRoot(ctx context.Context) {
	region := r.node.deps.Place.Region
	suspect, up := r.suspectedAddr(), r.node.subscriber.connectedUpstream()
	if r.isReadFromStore() && suspect == "" && up != "" && up == r.knownRoot(region) && !r.readDue(region, rootReadInterval) {
		return
	}
	cur, err := r.readRoot(ctx, region)
	if err != nil {
		return
	}
	if cur.Addr != "" && cur.Addr != r.node.deps.Addr && (cur.Addr != suspect || r.confirmsRoot(ctx, cur.Addr)) {
		r.mu.Lock()
		r.suspected = ""
		r.mu.Unlock()
		return
	}
	r.tryBecomeRoot(ctx, cur)
}

// confirmsRoot asks addr whether it is the region's root.
func (r *root) confirmsRoot(ctx context.Context, addr ident.Addr) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f, err := r.node.requestFloor(ctx, addr)
	return err == nil && f.Root == addr
}

// refreshRoot reads the root of another region from the store, at most once a second.
func (r *root) refreshRoot(ctx context.Context, region ident.Region) {
	if r.readDue(region, time.Second) {
		_, _ = r.readRoot(ctx, region)
	}
}

func (r *root) readDue(region ident.Region, every time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastRead[region]) >= every
}

func (r *root) readRoot(ctx context.Context, region ident.Region) (RootLease, error) {
	var cur RootLease
	err := withStoreTimeout(ctx, func(ctx context.Context) (err error) {
		cur, err = r.node.deps.Store.ReadRoot(ctx, region)
		return err
	})
	r.mu.Lock()
	r.lastRead[region] = time.Now()
	changed := false
	if err == nil {
		changed = r.rootAddrs[region] != cur.Addr || r.revisions[region] != cur.Revision
		r.rootAddrs[region], r.revisions[region] = cur.Addr, cur.Revision
		r.readFromStore = r.readFromStore || region == r.node.deps.Place.Region
	}
	r.mu.Unlock()
	if changed {
		r.node.subscriber.clearFailures(cur.Addr) // it wrote the key, so it is running again
		r.node.subscriber.requestRecheck()
	}
	return cur, err
}

func (r *root) tryBecomeRoot(ctx context.Context, prev RootLease) {
	region := r.node.deps.Place.Region
	lease, err := r.acquireLease(ctx, prev)
	if err != nil {
		return // another node won, or the next step reads the outcome
	}
	rctx, stop := context.WithCancel(context.Background())
	r.mu.Lock()
	r.lease, r.rootAddrs[region], r.lastRenewed, r.cancel = lease, r.node.deps.Addr, time.Now(), stop
	r.suspected = ""
	r.mu.Unlock()
	r.node.deps.Stats.Inc("Fanout.RootAcquired")
	r.node.deps.Log.Emit(event.RootAcquired, "Region", region)
	if region == r.node.deps.StoreRegion {
		go r.watchHead(rctx)
	} else {
		go r.pollHeadWhileSilent(rctx)
	}
	go r.confirmHeads(rctx)
	r.node.subscriber.requestRecheck()
}

// stepDown ends the lease and releases it in the store.
func (r *root) stepDown() {
	lease, ok := r.endLease("no longer a forwarder")
	if !ok {
		return
	}
	release := func(ctx context.Context) error { return r.node.deps.Store.ReleaseRoot(ctx, lease) }
	if err := withStoreTimeout(context.Background(), release); err != nil {
		r.node.deps.Stats.Inc("Fanout.RootReleaseFailed") // the lease will expire
	}
}

func (r *root) endLease(reason string) (RootLease, bool) {
	r.mu.Lock()
	lease := r.lease
	if lease.Addr == "" {
		r.mu.Unlock()
		return lease, false
	}
	r.cancel()
	r.lease = RootLease{}
	if r.rootAddrs[r.node.deps.Place.Region] == r.node.deps.Addr {
		r.rootAddrs[r.node.deps.Place.Region] = ""
	}
	r.mu.Unlock()
	r.node.deps.Log.Emit(event.RootLost, "Region", r.node.deps.Place.Region, "Reason", reason)
	r.node.forwarder.closeAll() // makes the other forwarders look for the new root immediately
	r.node.subscriber.requestRecheck()
	return lease, true
}

// watchHead follows head in the store until ctx ends.
func (r *root) watchHead(ctx context.Context) {
	d := newBackoffDelays(r.node.deps.Jitter, retryInitialDelay, retryMaxDelay)
	for ctx.Err() == nil {
		wctx, cancel := context.WithTimeout(ctx, watchTimeout)
		v, _, err := r.node.deps.Store.WatchHead(wctx, r.node.Version())
		ended := wctx.Err() != nil
		cancel()
		if ended {
			continue
		}
		if err == nil && v > r.node.Version() {
			err = r.loadAgreement(ctx)
		}
		if err == nil {
			d.reset()
			continue
		}
		r.reportUnreadableHead(ctx, err)
		if !d.wait(ctx) {
			return
		}
	}
}

// pollHeadWhileSilent reads head while the root of the store's region does not respond as the
// upstream.
func (r *root) pollHeadWhileSilent(ctx context.Context) {
	for delay.Sleep(ctx, time.Second) {
		if r.upstreamResponds() {
			continue
		}
		v, err := r.readHead(ctx)
		if err == nil && v > r.node.Version() {
			err = r.loadAgreement(ctx)
		}
		if err != nil {
			r.reportUnreadableHead(ctx, err)
		}
	}
}
