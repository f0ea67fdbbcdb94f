package fanout

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Subscriber maintains one subscription to an upstream.
type Subscriber struct {
	node    *Node
	recheck chan struct{} // wakes the session when the right upstream may have changed

	mu          sync.Mutex
	conn        *wire.Conn
	upstream    ident.Addr
	lastReply   time.Time                // last reply from any upstream
	attachedAt  time.Time                // when the upstream accepted the subscription
	lastFailure map[ident.Addr]time.Time // time of the last failure by address
	failures    map[ident.Addr]int       // consecutive failures by address
	nextRetry   int
}

func newSubscriber(node *Node) *Subscriber {
	return &Subscriber{
		node: node, recheck: make(chan struct{}, 1),
		lastFailure: map[ident.Addr]time.Time{}, failures: map[ident.Addr]int{},
	}
}

func (s *Subscriber) currentConn() *wire.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// connectedUpstream returns the upstream's address, or "" if there is none.
func (s *Subscriber) connectedUpstream() ident.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return ""
	}
	return s.upstream
}

// silence returns the time since the last reply from an upstream.
func (s *Subscriber) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastReply)
}

// clearFailures resets the failures recorded for addr.
func (s *Subscriber) clearFailures(addr ident.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failures, addr)
	delete(s.lastFailure, addr)
}

// unreachable reports whether addr failed at least twice in a row, the last time less than
// failedAvoidance ago.
func (s *Subscriber) unreachable(addr ident.Addr) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures[addr] >= 2 && time.Since(s.lastFailure[addr]) < failedAvoidance
}

func (s *Subscriber) requestRecheck() {
	select {
	case s.recheck <- struct{}{}:
	default:
	}
}

func (s *Subscriber) run(ctx context.Context) {
	s.mu.Lock()
	s.lastReply = time.Now()
	s.mu.Unlock()
	d := newBackoffDelays(s.node.deps.Jitter, retryInitialDelay, retryMaxDelay)
	for ctx.Err() == nil {
		if s.subscribeOnce(ctx) {
			d.reset()
		}
		if !d.wait(ctx) {
			return
		}
	}
}

// subscribeOnce makes one subscription attempt, following redirects, and runs the session. It
// returns true if the subscription was accepted.
func (s *Subscriber) subscribeOnce(ctx context.Context) bool {
	addr, ok := s.pickUpstream(ctx)
	for hops := 0; ok && hops <= maxHops; hops++ {
		redirect, accepted := s.runSession(ctx, addr, hops)
		if len(redirect) == 0 {
			return accepted
		}
		addr = redirect[int(s.node.deps.Jitter.Duration(time.Duration(len(redirect))))]
	}
	return false
}

// pickUpstream returns the best upstream that has not failed recently. If all have, it takes
// turns.
func (s *Subscriber) pickUpstream(ctx context.Context) (ident.Addr, bool) {
	list := s.node.upstreams(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range list {
		if time.Since(s.lastFailure[a]) > failedAvoidance || s.failures[a] == 0 {
			return a, true
		}
	}
	if len(list) == 0 {
		return "", false
	}
	s.nextRetry++
	return list[s.nextRetry%len(list)], true
}

// failedAvoidance is how long a failed upstream is skipped while there are others.
const failedAvoidance = 3 * time.Second

// runSession subscribes at addr and keeps the subscription until the connection ends or another
// upstream is preferred.
func (s *Subscriber) runSession(ctx context.Context, addr ident.Addr, hops int) (redirect []ident.Addr, accepted bool) {
	c, w, err := s.subscribe(ctx, addr, hops)
	if err != nil {
		s.recordFailure(addr)
		return nil, false
	}
	defer func() { _ = c.Close() }()
	if w.Root != "" {
		s.node.root.setUnconfirmed(w.Root)
	}
	if w.Root != addr {
		s.node.root.reportSuspect(addr)
	}
	if len(w.Redirect) > 0 {
		return w.Redirect, false
	}
	s.attach(c, addr)
	s.node.deps.Log.Emit(event.UpstreamConnected, "Upstream", addr)
	if s.node.deps.Connected != nil {
		s.node.deps.Connected(c)
	}
	err = s.keepAlive(ctx, c, addr)
	s.detach()
	if err != nil && ctx.Err() == nil {
		if errors.Is(err, wire.ErrClosed) {
			// The upstream may have closed all connections on purpose. If it has died, it will
			// refuse the next connection.
			s.node.root.reportSuspect(addr)
		} else {
			s.recordFailure(addr)
		}
		s.node.deps.Stats.Inc("Fanout.UpstreamLost")
		s.node.deps.Log.Emit(event.UpstreamLost, "Upstream", addr, "Error", err)
	}
	return nil, true
}

func (s *Subscriber) subscribe(ctx context.Context, addr ident.Addr, hops int) (*wire.Conn, SubscribeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := s.node.deps.Dial(ctx, addr)
	if err != nil {
		return nil, SubscribeReply{}, err
	}
	h := s.node.heldState()
	m := Subscribe{Addr: s.node.deps.Addr, Incarnation: s.node.deps.Incarnation, Version: h.Version, Hash: h.Hash, Hops: hops}
	var w SubscribeReply
	if err := c.Call(ctx, TypeSubscribe, m, &w); err != nil {
		_ = c.Close()
		return nil, SubscribeReply{}, err
	}
	return c, w, nil
}

// keepAlive sends heartbeats. It returns nil if another upstream is preferred.
func (s *Subscriber) keepAlive(ctx context.Context, c *wire.Conn, addr ident.Addr) error {
	// The first heartbeat is sent at a random time, so that daemons that connect together do not
	// send theirs in step.
	t := time.NewTimer(s.node.deps.Jitter.Duration(s.node.heartbeatInterval()))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.Done():
			return wire.ErrClosed
		case <-s.recheck:
			if !s.node.isSuitableUpstream(addr) {
				return nil
			}
			continue
		case <-t.C:
		}
		if err := s.exchangeHeartbeat(ctx, c, addr); err != nil {
			return err
		}
		if !s.node.isSuitableUpstream(addr) || s.preferredRecovered(addr) {
			return nil
		}
		t.Reset(s.node.heartbeatInterval())
	}
}

// preferredRecovered reports whether the first of the preferred upstreams has not failed for a
// while. Subscribers return to it, which spreads the load evenly again.
func (s *Subscriber) preferredRecovered(addr ident.Addr) bool {
	p := s.node.preferredUpstreams()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(p) == 0 || p[0] == addr || time.Since(s.attachedAt) < rootReadInterval {
		return false
	}
	return time.Since(s.lastFailure[p[0]]) > rootReadInterval
}

func (s *Subscriber) exchangeHeartbeat(ctx context.Context, c *wire.Conn, addr ident.Addr) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := s.node.sendHeartbeat(ctx, c)
	if err != nil {
		return err
	}
	// After a restart a root takes its floor from its former subscribers. They may not have
	// received yet the Version that it served, so they record what it reports here.
	s.node.floors.record(addr, v)
	s.mu.Lock()
	s.lastReply = time.Now()
	s.mu.Unlock()
	s.node.PullIfBehind(c, v)
	return nil
}

func (s *Subscriber) attach(c *wire.Conn, addr ident.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.upstream, s.lastReply, s.attachedAt = c, addr, time.Now(), time.Now()
	delete(s.failures, addr)
	delete(s.lastFailure, addr)
}

func (s *Subscriber) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = nil
}

// maxFailedAddrs limits the number of addresses with recorded failures.
const maxFailedAddrs = 64

func (s *Subscriber) recordFailure(addr ident.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lastFailure) >= maxFailedAddrs {
		clear(s.lastFailure)
		clear(s.failures)
	}
	s.lastFailure[addr] = time.Now()
	s.failures[addr]++
	s.node.root.reportSuspect(addr)
	if s.node.deps.Unreachable != nil {
		s.node.deps.Unreachable(addr)
	}
}

// preferredUpstreams returns the regular upstreams for the node's current role.
func (n *Node) preferredUpstreams() []ident.Addr {
	switch {
	case n.root.holdsLease() && n.deps.Place.Region == n.deps.StoreRegion:
		return nil
	case n.root.holdsLease():
		return n.withoutSelf(addrList(n.root.knownRoot(n.deps.StoreRegion)))
	case n.isForwarder():
		return n.withoutSelf(addrList(n.root.knownRoot(n.deps.Place.Region)))
	default:
		return rotateByHash(n.deps.Addr, n.withoutSelf(n.deps.Forwarders()))
	}
}

// upstreams returns the preferred upstreams, followed by those used while none of them responds.
func (n *Node) upstreams(ctx context.Context) []ident.Addr {
	if n.root.holdsLease() {
		if n.deps.Place.Region != n.deps.StoreRegion {
			n.root.refreshRoot(ctx, n.deps.StoreRegion)
		}
		return n.preferredUpstreams()
	}
	out := n.preferredUpstreams()
	for _, a := range append(rotateByHash(n.deps.Addr, n.withoutSelf(n.deps.Forwarders())), n.withoutSelf(n.deps.Contacts())...) {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// isSuitableUpstream reports whether the node should stay subscribed to addr. An upstream that
// is not preferred is suitable while all preferred ones are unknown or unreachable.
func (n *Node) isSuitableUpstream(addr ident.Addr) bool {
	if n.root.holdsLease() && n.deps.Place.Region == n.deps.StoreRegion {
		return false
	}
	p := n.preferredUpstreams()
	if slices.Contains(p, addr) {
		return true
	}
	return !slices.ContainsFunc(p, func(a ident.Addr) bool { return !n.subscriber.unreachable(a) })
}

// heartbeatInterval returns the time between heartbeats. Forwarders detect the loss of a root
// sooner, since its replacement has to be elected before an update can reach them.
func (n *Node) heartbeatInterval() time.Duration {
	if n.isForwarder() {
		return heartbeatInterval / 2
	}
	return heartbeatInterval
}

func (n *Node) sendHeartbeat(ctx context.Context, c *wire.Conn) (ident.Version, error) {
	if n.deps.Heartbeat != nil {
		return n.deps.Heartbeat(ctx, c, n.Version())
	}
	var out HeartbeatReply
	err := c.Call(ctx, TypeHeartbeat, Heartbeat{Addr: n.deps.Addr, Version: n.Version()}, &out)
	return out.Version, err
}

func addrList(a ident.Addr) []ident.Addr {
	if a == "" {
		return nil
	}
	return []ident.Addr{a}
}
