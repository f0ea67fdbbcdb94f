package peers

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// reach tracks which data centres the forwarders of the local one receive digests from.
type reach struct {
	mu        sync.Mutex
	direct    map[ident.DataCentre]time.Time // last digest received from it
	heard     map[ident.DataCentre]time.Time // last digest received here or by a sibling
	lost      map[ident.DataCentre]time.Time // when it became lost
	forgotten map[ident.DataCentre]struct{}  // lost for massLossGrace
}

func newReach() *reach {
	return &reach{
		direct: map[ident.DataCentre]time.Time{}, heard: map[ident.DataCentre]time.Time{},
		lost: map[ident.DataCentre]time.Time{}, forgotten: map[ident.DataCentre]struct{}{},
	}
}

func (r *reach) heardFrom(dc ident.DataCentre) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direct[dc], r.heard[dc] = time.Now(), time.Now()
}

// mergeHeard merges the data centres that a sibling receives digests from.
func (r *reach) mergeHeard(list []HeardCentre) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range list {
		at := time.Now().Add(-time.Duration(h.Age) * time.Millisecond)
		if at.After(r.heard[h.DataCentre]) {
			r.heard[h.DataCentre] = at
		}
	}
}

// heardDirectly returns the data centres that this forwarder has received a digest from
// since the given time.
func (r *reach) heardDirectly(since time.Time) []HeardCentre {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []HeardCentre
	for dc, at := range r.direct {
		if age := time.Since(at); age <= lostAfter && !at.Before(since) {
			out = append(out, HeardCentre{DataCentre: dc, Age: age.Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b HeardCentre) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// isForgotten reports whether dc has been lost for so long that its servers were
// forgotten. Siblings forget them at different times and would otherwise restore them.
func (r *reach) isForgotten(dc ident.DataCentre) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, lost := r.lost[dc]
	return lost && time.Since(since) > massLossGrace
}

// lostCentres returns the lost data centres, sorted.
func (r *reach) lostCentres() []ident.DataCentre {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []ident.DataCentre
	for dc := range r.lost {
		out = append(out, dc)
	}
	slices.Sort(out)
	return out
}

// check marks data centres as lost when no forwarder receives their digests, and forgets
// the servers of those lost for massLossGrace.
func (r *reach) check(a *Agent) {
	var expired []ident.DataCentre
	r.mu.Lock()
	for dc, at := range r.heard {
		since, lost := r.lost[dc]
		switch silent := time.Since(at) > lostAfter; {
		case silent && !lost:
			r.lost[dc] = time.Now()
			a.d.Log.Emit(event.CentreLost, "DataCentre", dc)
		case !silent && lost:
			delete(r.lost, dc)
			delete(r.forgotten, dc)
			a.d.Log.Emit(event.CentreRecovered, "DataCentre", dc)
		case silent && time.Since(since) > massLossGrace:
			if _, done := r.forgotten[dc]; !done {
				r.forgotten[dc] = struct{}{}
				expired = append(expired, dc)
			}
		}
	}
	r.mu.Unlock()
	a.d.Registry.suspects.setLost(r.lostCentres())
	for _, dc := range expired {
		n := a.d.Registry.forget(func(e entry) bool { return e.Place.DataCentre == dc })
		a.d.Log.Emit(event.CentreForgotten, "DataCentre", dc, "Servers", n)
	}
}
