package fanout

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// maxHops is the number of redirects after which a forwarder accepts a subscriber in any case.
// It prevents redirect loops between daemons that rank the forwarders differently.
const maxHops = 2

// Forwarder sends the held state of a Holder to subscribers.
type Forwarder struct {
	holder      *Holder
	limits      Limits
	stats       *stats.Set
	log         *event.Log
	transferSem chan struct{} // one token per concurrent snapshot transfer

	mu            sync.Mutex
	subscriptions map[*wire.Conn]*subscription
	history       history
	deltas        map[ident.Version]Delta // to the newest Version, by base Version
	snapshot      encodedSnapshot         // of the newest Version, received or encoded once
	received      encodedSnapshot         // validated; forwarded unchanged once it is the held state
}

// NewForwarder returns a Forwarder for the held state of h.
func NewForwarder(h *Holder, l Limits, s *stats.Set, log *event.Log) *Forwarder {
	l = l.withDefaults()
	f := &Forwarder{
		holder: h, limits: l, stats: s, log: log,
		transferSem:   make(chan struct{}, l.Transfers),
		subscriptions: map[*wire.Conn]*subscription{},
		deltas:        map[ident.Version]Delta{},
	}
	h.WatchHeld(f.heldChanged)
	return f
}

// heldChanged is called after each change of the held state.
func (f *Forwarder) heldChanged(old, cur *agree.Agreement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.deltas)
	f.snapshot = encodedSnapshot{}
	if f.received.matches(cur) {
		f.snapshot = f.received
	}
	f.received = encodedSnapshot{}
	if len(f.subscriptions) == 0 {
		// Without subscribers there is no history to keep, which saves comparing the states.
		f.history = history{}
		return
	}
	f.history.record(old, cur)
	for _, s := range f.subscriptions {
		s.wake()
	}
}

// setReceived keeps the validated snapshot s, to forward it unchanged when it becomes the held
// state. Encoding the state again would cost as much time and memory as loading it a second
// time.
func (f *Forwarder) setReceived(s encodedSnapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = s
}

// Subscribers returns the number of subscribers.
func (f *Forwarder) Subscribers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.subscriptions)
}

// subscribe registers c as a subscriber, or returns false if the forwarder is full. The
// subscription ends with the connection.
func (f *Forwarder) subscribe(c *wire.Conn, m Subscribe) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.subscriptions[c]; ok {
		s.setConfirmed(HeldState{Version: m.Version, Hash: m.Hash})
		return true
	}
	if m.Hops < maxHops && (len(f.subscriptions) >= f.limits.Subscribers || f.wouldWaitForTransfer(m)) {
		return false
	}
	s := newSubscription(f, c, HeldState{Version: m.Version, Hash: m.Hash})
	f.subscriptions[c] = s
	f.stats.Gauge("Fanout.Subscribers", int64(len(f.subscriptions)))
	go s.run()
	return true
}

// wouldWaitForTransfer reports whether m needs a snapshot while all transfers are in use. f.mu must
// be held.
func (f *Forwarder) wouldWaitForTransfer(m Subscribe) bool {
	if len(f.transferSem) < cap(f.transferSem) || m.Version >= f.holder.Held().Version() {
		return false
	}
	_, ok := f.history.mergeSince(m.Version, m.Hash)
	return !ok
}

// confirm records the state that the subscriber on c holds. It returns false if c has no
// subscription.
func (f *Forwarder) confirm(c *wire.Conn, h HeldState) bool {
	f.mu.Lock()
	s, ok := f.subscriptions[c]
	f.mu.Unlock()
	if ok {
		s.setConfirmed(h)
	}
	return ok
}

// handleLag wakes the subscription on c if v is below the held Version and no update is in
// flight.
func (f *Forwarder) handleLag(c *wire.Conn, v ident.Version) {
	if v >= f.holder.Held().Version() {
		return
	}
	f.mu.Lock()
	s, ok := f.subscriptions[c]
	f.mu.Unlock()
	if ok {
		s.handleLag(v)
	}
}

// closeAll closes the connections of all subscribers.
func (f *Forwarder) closeAll() {
	f.mu.Lock()
	conns := slices.Collect(maps.Keys(f.subscriptions))
	f.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func (f *Forwarder) remove(c *wire.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.subscriptions, c)
	f.stats.Gauge("Fanout.Subscribers", int64(len(f.subscriptions)))
}

// delta returns the delta from h to the newest state, or false if the history does not reach
// back to h.
func (f *Forwarder) delta(h HeldState) (Delta, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cur := f.holder.Held()
	if d, ok := f.deltas[h.Version]; ok && d.BaseHash == h.Hash && d.Version == cur.Version() {
		return d, true
	}
	if n := len(f.history.steps); n == 0 || f.history.steps[n-1].version != cur.Version() {
		return Delta{}, false
	}
	c, ok := f.history.mergeSince(h.Version, h.Hash)
	if !ok {
		return Delta{}, false
	}
	d, err := newDelta(h.Version, h.Hash, cur.Version(), cur.Hash(), c)
	if err != nil {
		return Delta{}, false
	}
	f.deltas[h.Version] = d
	return d, true
}

// fullSnapshot returns the snapshot of the newest state, encoded at most once per Version.
func (f *Forwarder) fullSnapshot() (encodedSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cur := f.holder.Held()
	if f.snapshot.matches(cur) {
		return f.snapshot, nil
	}
	s, err := NewSnapshot(cur)
	if err != nil {
		return encodedSnapshot{}, err
	}
	body, err := wire.Encode(s)
	if err != nil {
		return encodedSnapshot{}, err
	}
	f.stats.Inc("Fanout.SnapshotsEncoded")
	f.snapshot = encodedSnapshot{HeldState: HeldState{Version: s.Version, Hash: s.Hash}, body: body}
	return f.snapshot, nil
}

// send updates the subscriber from h to the newest state and returns the state it then holds.
func (f *Forwarder) send(ctx context.Context, c *wire.Conn, h HeldState) (HeldState, error) {
	if d, ok := f.delta(h); ok {
		return f.sendUpdate(ctx, c, TypeUpdate, d, "Fanout.DeltasSent")
	}
	select {
	case f.transferSem <- struct{}{}:
	case <-ctx.Done():
		return HeldState{}, ctx.Err()
	}
	defer func() { <-f.transferSem }()
	s, err := f.fullSnapshot()
	if err != nil {
		return HeldState{}, err
	}
	f.log.Emit(event.SubscriberSent, "Addr", c.RemoteAddr(), "Version", s.Version, "Bytes", len(s.body))
	return f.sendUpdate(ctx, c, TypeSnapshot, s.body, "Fanout.SnapshotsSent")
}

func (f *Forwarder) sendUpdate(ctx context.Context, c *wire.Conn, t wire.Type, in any, counter string) (HeldState, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	f.stats.Inc(counter)
	var out HeldState
	err := c.Call(ctx, t, in, &out)
	return out, err
}

// confirmTimeout is how long a subscriber whose heartbeat reports an old Version may take to
// confirm an update that was already sent.
const confirmTimeout = 500 * time.Millisecond
