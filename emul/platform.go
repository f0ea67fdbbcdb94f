package emul

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/fanout"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
)

// Errors of a Platform.
var (
	ErrDown     = errors.New("store is down")
	ErrConflict = errors.New("revision has changed")
)

// rootTTL is the duration of the lease of a root.
const rootTTL = 6 * time.Second

// Platform is a fake of the store behind the interfaces of fanout and peers: it holds the accepted
// agreement, the leases of the roots and the contacts. It counts calls.
type Platform struct {
	net   *Network
	place ident.Place

	mu             sync.Mutex
	down           bool
	delay          time.Duration
	hang           bool
	accepted       *agree.Agreement
	unconfirmed    bool  // the store came back from a copy, and ConfirmHead has not been called since
	fullStateBytes int64 // size of the full state that LoadAgreement returns
	changed        chan struct{}
	revision       int64
	roots          map[ident.Region]rootEntry
	contacts       map[ident.DataCentre]peers.Contact
	calls          Calls
}

type rootEntry struct {
	lease   fanout.RootLease
	expires time.Time
}

// Calls counts the calls on a Platform. Watching is the number of waiting watches, Most
// its maximum so far.
type Calls struct {
	Reads, Writes, Watching, MaxWatching int
}

// NewPlatform returns a Platform at the place p with an empty agreement.
func NewPlatform(n *Network, p ident.Place) *Platform {
	return &Platform{
		net: n, place: p, accepted: agree.Empty(), changed: make(chan struct{}),
		roots: map[ident.Region]rootEntry{}, contacts: map[ident.DataCentre]peers.Contact{},
	}
}

// Accept makes a the accepted agreement and wakes the watches.
func (p *Platform) Accept(a *agree.Agreement) {
	s, err := fanout.NewSnapshot(a)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted = a
	if err == nil {
		p.fullStateBytes = int64(len(s.Rows))
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Restore makes a, which was accepted before, the accepted agreement again, as a store that came back from a copy.
func (p *Platform) Restore(a *agree.Agreement) {
	p.Accept(a)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unconfirmed = true
}

// Unconfirmed reports whether no daemon has confirmed the accepted agreement since Restore.
func (p *Platform) Unconfirmed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unconfirmed
}

func (p *Platform) confirm(held *agree.Agreement) {
	if held.Version() > p.Accepted().Version() {
		p.Accept(held)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unconfirmed = false
}

// Accepted returns the accepted agreement.
func (p *Platform) Accepted() *agree.Agreement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// SetDown makes all calls fail, or succeed again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetSlow delays each call by d.
func (p *Platform) SetSlow(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetHang makes watches block until their context ends, as on a connection that broke unnoticed.
func (p *Platform) SetHang(hang bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hang = hang
}

// ExpireRoots removes all leases of roots, as if they had expired.
func (p *Platform) ExpireRoots() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.roots)
}

// Calls returns the counts so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// simulateCall counts a call of addr and delays it by the latency. It fails if the store is down,
// and blocks until ctx ends if the store is not reachable.
func (p *Platform) simulateCall(ctx context.Context, addr ident.Addr, from ident.Place, write bool) error {
	p.mu.Lock()
	if write {
		p.calls.Writes++
	} else {
		p.calls.Reads++
	}
	down, delay := p.down, p.delay
	p.mu.Unlock()
	p.net.Count(from, p.place, callBytes, false)
	if !p.net.Reachable(addr, p.place) {
		<-ctx.Done()
		return ctx.Err()
	}
	t := time.NewTimer(2*p.net.Latency(from, p.place) + delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	}
	if down {
		return ErrDown
	}
	p.net.Count(p.place, from, callBytes, false)
	return nil
}

// callBytes is the size of a small request to the store or of its answer over HTTP.
const callBytes = 200

// Store returns the store interface of fanout for the daemon at addr.
func (p *Platform) Store(addr ident.Addr, from ident.Place) fanout.Store {
	return fanout.Store{
		ReadHead: func(ctx context.Context) (ident.Version, agree.Hash, error) {
			if err := p.simulateCall(ctx, addr, from, false); err != nil {
				return 0, 0, err
			}
			a := p.Accepted()
			return a.Version(), a.Hash(), nil
		},
		LoadAgreement: func(ctx context.Context) (*agree.Agreement, error) {
			if err := p.simulateCall(ctx, addr, from, false); err != nil {
				return nil, err
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.net.Count(p.place, from, p.fullStateBytes, true)
			return p.accepted, nil
		},
		WatchHead: func(ctx context.Context, after ident.Version) (ident.Version, agree.Hash, error) {
			return p.watch(ctx, addr, from, after)
		},
		HeadUnconfirmed: func(held ident.Version) bool { return p.Unconfirmed() && held >= p.Accepted().Version() },
		ConfirmHead: func(ctx context.Context, held *agree.Agreement) error {
			if err := p.simulateCall(ctx, addr, from, true); err != nil {
				return err
			}
			p.confirm(held)
			return nil
		},
		ReadRoot: func(ctx context.Context, region ident.Region) (fanout.RootLease, error) {
			if err := p.simulateCall(ctx, addr, from, false); err != nil {
				return fanout.RootLease{}, err
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.root(region), nil
		},
		AcquireRoot: func(ctx context.Context, region ident.Region, a ident.Addr, prev fanout.RootLease) (fanout.RootLease, error) {
			if err := p.simulateCall(ctx, addr, from, true); err != nil {
				return fanout.RootLease{}, err
			}
			return p.acquire(region, a, prev)
		},
		RenewRoot: func(ctx context.Context, l fanout.RootLease) error {
			if err := p.simulateCall(ctx, addr, from, true); err != nil {
				return err
			}
			return p.renew(from.Region, l, time.Now().Add(rootTTL))
		},
		ReleaseRoot: func(ctx context.Context, l fanout.RootLease) error {
			if err := p.simulateCall(ctx, addr, from, true); err != nil {
				return err
			}
			return p.renew(from.Region, l, time.Time{})
		},
	}
}

func (p *Platform) watch(ctx context.Context, addr ident.Addr, from ident.Place, after ident.Version) (ident.Version, agree.Hash, error) {
	if err := p.simulateCall(ctx, addr, from, false); err != nil {
		return 0, 0, err
	}
	p.mu.Lock()
	p.calls.Watching++
	p.calls.MaxWatching = max(p.calls.MaxWatching, p.calls.Watching)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.calls.Watching--
	}()
	for {
		p.mu.Lock()
		a, changed, down, hang := p.accepted, p.changed, p.down, p.hang
		p.mu.Unlock()
		if hang {
			<-ctx.Done()
			return 0, 0, ctx.Err()
		}
		if down {
			return 0, 0, ErrDown
		}
		if a.Version() > after {
			t := time.NewTimer(p.net.Latency(p.place, from))
			defer t.Stop()
			<-t.C
			return a.Version(), a.Hash(), nil
		}
		select {
		case <-ctx.Done():
			return 0, 0, ctx.Err()
		case <-changed:
		}
	}
}

// root returns the unexpired lease of the root of a region, or the zero value. The caller holds mu.
func (p *Platform) root(region ident.Region) fanout.RootLease {
	e, ok := p.roots[region]
	if !ok || time.Now().After(e.expires) {
		return fanout.RootLease{}
	}
	return e.lease
}

func (p *Platform) acquire(region ident.Region, a ident.Addr, prev fanout.RootLease) (fanout.RootLease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.root(region).Revision != prev.Revision {
		return fanout.RootLease{}, ErrConflict
	}
	p.revision++
	l := fanout.RootLease{Addr: a, Revision: p.revision, Lease: p.revision}
	p.roots[region] = rootEntry{l, time.Now().Add(rootTTL)}
	return l, nil
}

func (p *Platform) renew(region ident.Region, l fanout.RootLease, until time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.root(region).Lease != l.Lease {
		return ErrConflict
	}
	p.roots[region] = rootEntry{l, until}
	return nil
}

// ReadContacts returns the function with which peers reads the contacts for the daemon at addr.
func (p *Platform) ReadContacts(addr ident.Addr, from ident.Place) func(context.Context) (map[ident.DataCentre]peers.Contact, error) {
	return func(ctx context.Context) (map[ident.DataCentre]peers.Contact, error) {
		if err := p.simulateCall(ctx, addr, from, false); err != nil {
			return nil, err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		out := map[ident.DataCentre]peers.Contact{}
		for dc, c := range p.contacts {
			out[dc] = c
		}
		return out, nil
	}
}

// WriteContacts returns the function with which peers writes contacts for the daemon at addr.
func (p *Platform) WriteContacts(addr ident.Addr, from ident.Place) func(context.Context, ident.DataCentre, peers.Contact) error {
	return func(ctx context.Context, dc ident.DataCentre, c peers.Contact) error {
		if err := p.simulateCall(ctx, addr, from, true); err != nil {
			return err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.contacts[dc].Revision != c.Revision {
			return ErrConflict
		}
		p.revision++
		c.Revision = p.revision
		p.contacts[dc] = c
		return nil
	}
}

// Contacts returns the stored addresses of the contacts of each data centre.
func (p *Platform) Contacts() map[ident.DataCentre][]ident.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[ident.DataCentre][]ident.Addr{}
	for dc, c := range p.contacts {
		out[dc] = slices.Clone(c.Addrs)
	}
	return out
}

// CopyContacts returns a function that brings back the present contacts and revision, as a store that came back from a
// copy.
func (p *Platform) CopyContacts() (restore func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	contacts, revision := maps.Clone(p.contacts), p.revision
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.contacts, p.revision = maps.Clone(contacts), revision
	}
}

func (p *Platform) fullBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fullStateBytes
}
