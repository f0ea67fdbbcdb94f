package peers

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

func compareScopes(a, b ScopeDigest) int { return cmp.Compare(a.Scope, b.Scope) }

// comparisons allows one comparison per scope at a time.
type comparisons struct {
	mu      sync.Mutex
	running map[scope]struct{}
}

func (p *comparisons) begin(sc scope) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.running[sc]; ok {
		return false
	}
	p.running[sc] = struct{}{}
	return true
}

func (p *comparisons) end(sc scope) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, sc)
}

// propagationDelay is how long a change that another forwarder has already applied may take to
// arrive: coalescing, the hop through a sibling, and the latency between regions.
const propagationDelay = 250 * time.Millisecond

// compare requests from the forwarder of dc on c the scopes whose totals differ from its
// digest and still differ once changes in flight have arrived.
func (a *Agent) compare(c *wire.Conn, dc ident.DataCentre, totals []uint64) {
	own := a.d.Place.DataCentre
	for i, v := range totals {
		sc := scopeAll
		if dc != own {
			sc = []scope{scope(dc), scope(own)}[min(i, 1)]
		}
		if v == 0 || a.d.Registry.totals.matches(sc, v) || !a.comparing.begin(sc) {
			continue
		}
		go func() {
			defer a.comparing.end(sc)
			select {
			case <-c.Done():
				return
			case <-time.After(propagationDelay):
			}
			if a.d.Registry.totals.matches(sc, v) {
				return
			}
			// Failures are retried at the next digest.
			if sc == scopeAll {
				_ = a.wantAll(c, dc)
			} else {
				_ = a.want(c, sc, a.d.Registry.digests()[sc], dc)
			}
		}()
	}
}

// wantAll requests from a sibling the scopes whose digests differ.
func (a *Agent) wantAll(c *wire.Conn, from ident.DataCentre) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var list []ScopeDigest
	if err := c.Call(ctx, TypeScopes, struct{}{}, &list); err != nil {
		return err
	}
	have := a.d.Registry.digests()
	for _, sd := range list {
		if a.d.Registry.totals.matches(sd.Scope, sd.Digest) {
			continue
		}
		if err := a.want(c, sd.Scope, have[sd.Scope], from); err != nil {
			return err
		}
	}
	return nil
}

// scopes returns the digests of all scopes.
func (a *Agent) scopes() []ScopeDigest {
	var out []ScopeDigest
	for sc, v := range a.d.Registry.totals.all() {
		out = append(out, ScopeDigest{Scope: sc, Digest: v})
	}
	slices.SortFunc(out, compareScopes)
	return out
}

func (a *Agent) want(c *wire.Conn, sc scope, have map[ident.ServiceID]uint64, from ident.DataCentre) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	w := Want{Scope: sc}
	for _, id := range slices.Sorted(maps.Keys(have)) {
		w.Have = append(w.Have, ServiceDigest{Service: id, Digest: have[id]})
	}
	var out ServerList
	if err := c.Call(ctx, TypeWant, w, &out); err != nil {
		return err
	}
	a.d.Stats.Inc("Peers.ListsFetched")
	return a.applyList(out, a.sourceOf(from))
}

// answerWant returns the lists of the services within the scope that differ.
func (a *Agent) answerWant(w Want) ServerList {
	have := map[ident.ServiceID]uint64{}
	for _, d := range w.Have {
		have[d.Service] = d.Digest
	}
	mine := a.d.Registry.digests()[w.Scope]
	var out ServerList
	for _, id := range a.d.Registry.services(w.Scope) {
		if d, ok := have[id]; ok && d == mine[id] {
			continue
		}
		out.Services = append(out.Services, id)
		out.Rows = append(out.Rows, toRows(a.d.Registry.list(id, w.Scope))...)
	}
	for id := range have {
		if _, ok := mine[id]; !ok && !slices.Contains(out.Services, id) {
			out.Services = append(out.Services, id)
		}
	}
	return out
}
