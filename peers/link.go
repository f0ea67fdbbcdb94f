package peers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// link maintains a connection to another forwarder.
type link struct {
	a           *Agent
	outbox      *outbox
	compareSoon chan struct{} // wakes serve after a change that another forwarder pushes
	cancel      context.CancelFunc

	mu sync.Mutex
	t  target
}

func newLink(a *Agent, t target) *link {
	return &link{a: a, t: t, outbox: newOutbox(a.d.Registry.suspects.has), compareSoon: make(chan struct{}, 1)}
}

func (k *link) get() target {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.t
}

func (k *link) set(t target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.t = t
}

// run keeps the link connected, with a random delay of up to a second between attempts.
func (k *link) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		addrs := k.get().addrs
		addr := addrs[i%len(addrs)]
		if c, err := k.dial(ctx, addr); err == nil {
			k.outbox.take() // the first digest covers what was queued before
			k.serve(ctx, c, addr)
			_ = c.Close()
			i = -1
		} else {
			k.a.d.Registry.MarkRefused(addr)
		}
		if !delay.Sleep(ctx, k.a.d.Within(time.Second)) {
			return
		}
	}
}

func (k *link) dial(ctx context.Context, addr ident.Addr) (*wire.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.a.d.Dial(ctx, addr)
}

// serve sends digests and changes until the connection ends, sendDigest rejects it, or addr
// is no longer an address of the target.
func (k *link) serve(ctx context.Context, c *wire.Conn, addr ident.Addr) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go k.outbox.run(ctx, c, k.a.d.Place.DataCentre)
	var sent digestState
	for {
		t := k.get()
		if !slices.Contains(t.addrs, addr) || !k.sendDigest(ctx, c, t, &sent) {
			return
		}
		select {
		case <-c.Done():
			return
		case <-ctx.Done():
			return
		case <-time.After(t.interval):
		case <-k.compareSoon:
			// Give the push of the first forwarder time to arrive.
			if !delay.Sleep(ctx, backupCompareDelay) {
				return
			}
		}
	}
}

// backupCompareDelay is the delay after a change until a forwarder that does not push it compares
// digests. Together with the transfer of the lists it stays well within the 3 s for a
// draining server.
const backupCompareDelay = time.Second

// digestState records what earlier digests have told the receiver on a connection.
type digestState struct {
	from   *Sender // nil before the first
	sentAt time.Time
}

// sendDigest sends a digest and reports whether to keep the connection.
func (k *link) sendDigest(ctx context.Context, c *wire.Conn, t target, sent *digestState) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	d, from := k.a.digest(t, sent.sentAt), k.a.sender(t)
	if sent.from == nil || sent.from.KnownStamp != from.KnownStamp || sent.from.Forwarders.Stamp != from.Forwarders.Stamp {
		d.From = &from
	}
	var out *DigestAnswer
	if err := c.Call(ctx, TypeDigest, d, &out); err != nil {
		return false
	}
	// An answer counts as contact too: the last daemon of a data centre may receive no
	// digests, since other data centres learn of it only through its own.
	k.a.tracker.markContact()
	sent.from, sent.sentAt = &from, now
	if out == nil {
		return true
	}
	if out.Renew {
		k.a.own.renew()
	}
	switch {
	case t.sibling:
		k.a.ranks.learn(out.Forwarders)
	case len(out.Forwarders.Forwarders) > 0:
		k.a.ranks.setRemote(t.centre, out.Forwarders)
		t.addrs = out.Forwarders.Forwarders
		k.set(t)
	}
	return t.sibling || out.Forwarder
}

// sender returns the description of this daemon and its rankings for a digest to t.
func (a *Agent) sender(t target) Sender {
	k := a.ranks.confirmed()
	s := Sender{Addr: a.d.Addr, DataCentre: a.d.Place.DataCentre, Forwarders: k, KnownStamp: k.Stamp}
	if !t.sibling {
		s.KnownStamp = a.ranks.remoteStamp(t.centre)
	}
	return s
}

// digest returns the digest for t; since is the time of the last one. A sibling gets the
// data centres heard from since then. A forwarder of another data centre gets the totals of
// the sender's servers and of its own: forwarders that have lost their state thereby learn
// of servers that no daemon announces any more, and declare them gone.
func (a *Agent) digest(t target, since time.Time) Digest {
	total := a.d.Registry.totals.value
	if t.sibling {
		return Digest{Totals: []uint64{total(scopeAll)}, Heard: a.reach.heardDirectly(since)}
	}
	return Digest{Totals: []uint64{total(scope(a.d.Place.DataCentre)), total(scope(t.centre))}}
}
