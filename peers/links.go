package peers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// links are a forwarder's connections to other forwarders. Each carries digests and
// changes in one direction; the receiver requests missing entries on the same connection.
//
// Every forwarder has a link to each sibling. The first forwarder of a data centre pushes
// the changes of its servers to one forwarder of each other data centre, so that a change
// crosses between them once. The second only sends digests there, a second after each
// change, which covers the loss of the first.
type links struct {
	a *Agent

	mu sync.Mutex
	m  map[string]*link
}

// target describes a link that a forwarder should have.
type target struct {
	name     string
	centre   ident.DataCentre
	addrs    []ident.Addr // in the order to try
	sibling  bool
	pushes   bool          // changes are pushed
	interval time.Duration // between digests
}

func newLinks(a *Agent) *links {
	return &links{a: a, m: map[string]*link{}}
}

// targets returns the links that this forwarder should have, given its rank.
func (a *Agent) targets() []target {
	own := a.Forwarders()
	var out []target
	for _, f := range own {
		if f != a.d.Addr {
			out = append(out, target{
				name: "sibling " + string(f), centre: a.d.Place.DataCentre,
				addrs: []ident.Addr{f}, sibling: true, pushes: true, interval: heartbeatInterval,
			})
		}
	}
	k := a.rankAlive(own)
	if k > 1 || !slices.Contains(own, a.d.Addr) {
		return out
	}
	for _, dc := range a.ranks.remoteCentres() {
		addrs := a.ranks.forwardersOf(dc)
		if len(addrs) == 0 {
			continue
		}
		first, interval := min(k, len(addrs)-1), digestInterval
		if k > 0 {
			interval = backupDigestInterval
		}
		out = append(out, target{
			name: "centre " + string(dc), centre: dc, pushes: k == 0, interval: interval,
			addrs: slices.Concat(addrs[first:], addrs[:first]),
		})
	}
	return out
}

// rankAlive returns how many forwarders ranked before this daemon are not suspect. The last
// live forwarder therefore links to the other data centres at once: it can detect that its
// siblings are gone only while it hears from some daemon.
func (a *Agent) rankAlive(own []ident.Addr) int {
	k := 0
	for _, f := range own {
		if f == a.d.Addr {
			break
		}
		if !a.d.Registry.suspects.has(f) {
			k++
		}
	}
	return k
}

// reconcile starts and stops links to match list.
func (l *links) reconcile(ctx context.Context, list []target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := map[string]target{}
	for _, t := range list {
		wanted[t.name] = t
	}
	for name, k := range l.m {
		if _, ok := wanted[name]; !ok {
			k.cancel()
			delete(l.m, name)
		}
	}
	for name, t := range wanted {
		if k, ok := l.m[name]; ok {
			k.set(t)
			continue
		}
		k := newLink(l.a, t)
		l.m[name] = k
		lctx, cancel := context.WithCancel(ctx)
		k.cancel = cancel
		go k.run(lctx)
	}
}

func (l *links) close() { l.reconcile(context.Background(), nil) }

func (l *links) push(s Server, from source) {
	own := scope(l.a.d.Place.DataCentre)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.m {
		t := k.get()
		switch {
		case t.sibling && from != fromSibling:
			k.outbox.add(s)
		case !t.sibling && s.scope() == own && t.pushes:
			k.outbox.add(s)
		case !t.sibling && s.scope() == own:
			select {
			case k.compareSoon <- struct{}{}:
			default:
			}
		}
	}
}

func (l *links) suspect(s Suspect, from source) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.m {
		t := k.get()
		if t.sibling && from != fromSibling || !t.sibling && t.pushes && s.Place.DataCentre == l.a.d.Place.DataCentre {
			k.outbox.suspect(s)
		}
	}
}
