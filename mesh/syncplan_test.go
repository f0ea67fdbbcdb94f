package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

func anyUsable(ident.Addr) bool { return true }

// planFleet returns n daemons in each of the data centres, the first half of which are in the region of the store.
func planFleet(dataCentres, n int) []Peer {
	var out []Peer
	for d := range dataCentres {
		p := Peer{Place: ident.Place{Region: "b-near", DataCentre: ident.DataCentre(fmt.Sprint("dc", d))}, StoreLatency: 6 * time.Millisecond}
		if d >= dataCentres/2 {
			p.Place.Region, p.StoreLatency = "a-far", 45*time.Millisecond
		}
		for i := range n {
			p.Addr = ident.Addr(fmt.Sprintf("10.%d.0.%d:7000", d, i))
			out = append(out, p)
		}
	}
	return out
}

// pathToRoot returns how many daemons a change passes from a root to the daemon at a.
func pathToRoot(a ident.Addr, fleet []Peer) int {
	for n := range 10 {
		i := slices.IndexFunc(fleet, func(p Peer) bool { return p.Addr == a })
		plan := planSync(fleet[i], fleet, anyUsable)
		if plan.tier == root {
			return n
		}
		a = plan.parents[0]
	}
	return 10
}

// TestPlanSync guards against calls to the store, or configurations between regions, that grow with the number of
// daemons, and against a daemon that nobody informs.
func TestPlanSync(t *testing.T) {
	tests := map[string]struct{ dataCentres, daemons int }{
		"one":           {1, 1},
		"today":         {4, 3},
		"grown":         {4, 20},
		"large":         {8, 24},
		"in two years":  {10, 190},
		"single region": {1, 40},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fleet := planFleet(tt.dataCentres, tt.daemons)
			plans := map[ident.Addr]syncPlan{}
			for i, p := range fleet {
				if len(fleet) > 400 && i%97 != 0 {
					continue // a sample
				}
				plans[p.Addr] = planSync(p, fleet, anyUsable)
			}
			roots, relays := planSync(Peer{Place: fleet[0].Place}, fleet, anyUsable), 0
			for a, p := range plans {
				switch p.tier {
				case root:
					is.Equal(len(p.parents), 0)
				case relay:
					relays++
					is.True(len(p.parents) > 0)
				case follower:
					is.Equal(len(p.parents), min(relaysPerDataCentre, tt.daemons))
				}
				is.True(!slices.Contains(p.parents, a))
				is.True(pathToRoot(a, fleet) <= 3)
			}
			is.True(relays <= tt.dataCentres*relaysPerDataCentre+standbyCount)
			is.True(len(roots.parents) <= max(relaysPerDataCentre, rootCount))
		})
	}
}

// TestPlanSyncReplacesLostRoots guards against daemons that wait for roots that cannot be reached.
func TestPlanSyncReplacesLostRoots(t *testing.T) {
	is := is.New(t)
	fleet := planFleet(4, 5)
	lost := map[ident.Addr]bool{}
	roots := func() (out []ident.Addr) {
		for _, p := range fleet {
			if !lost[p.Addr] && planSync(p, fleet, func(a ident.Addr) bool { return !lost[a] }).tier == root {
				out = append(out, p.Addr)
				is.True(p.Place.Region == "b-near" || len(lost) >= len(fleet)/2)
			}
		}
		return out
	}
	for range 4 { // until the region of the store has two daemons left
		is.Equal(len(roots()), rootCount)
		for _, a := range roots() {
			lost[a] = true
		}
	}
	is.Equal(len(roots()), rootCount)
	for _, a := range roots() {
		lost[a] = true
	}
	is.Equal(len(roots()), rootCount) // of the other region
}

// TestPlanSyncWhileStopping guards against a daemon that ends while it stops, because no other of its data centre is
// left.
func TestPlanSyncWhileStopping(t *testing.T) {
	is := is.New(t)
	fleet := planFleet(4, 2)
	own := fleet[7].Place
	for i := range fleet {
		fleet[i].Stopping = fleet[i].Place == own
	}
	plan := planSync(fleet[7], fleet, anyUsable)
	is.Equal(plan.tier, relay)
	is.Equal(len(plan.parents), rootCount)
	for i := range fleet {
		fleet[i].Stopping = true
	}
	is.Equal(planSync(fleet[7], fleet, anyUsable).tier, root)
	is.Equal(planSync(fleet[7], nil, anyUsable).tier, root)
}

// TestRootsAreSpread guards against two roots that one data centre takes with it.
func TestRootsAreSpread(t *testing.T) {
	is := is.New(t)
	fleet := planFleet(4, 6)
	places := map[ident.Place]bool{}
	for _, p := range fleet {
		if planSync(p, fleet, anyUsable).tier == root {
			places[p.Place] = true
		}
	}
	is.Equal(len(places), rootCount)
}

// TestHomeRegion guards against roots behind the narrow link between regions, and against a slow daemon that
// moves them there.
func TestHomeRegion(t *testing.T) {
	near, far := ident.Place{Region: "near"}, ident.Place{Region: "far"}
	tests := map[string]struct {
		peers []Peer
		want  ident.Region
	}{
		"by latency":         {[]Peer{{Place: far, StoreLatency: 44 * time.Millisecond}, {Place: near, StoreLatency: 6 * time.Millisecond}}, "near"},
		"slow daemon":        {[]Peer{{Place: far, StoreLatency: 44 * time.Millisecond}, {Place: near, StoreLatency: time.Second}, {Place: near, StoreLatency: 7 * time.Millisecond}}, "near"},
		"slow store":         {[]Peer{{Place: far, StoreLatency: 240 * time.Millisecond}, {Place: near, StoreLatency: 203 * time.Millisecond}}, "near"},
		"none known":         {[]Peer{{Place: near}, {Place: far}}, "far"},
		"one known":          {[]Peer{{Place: near, StoreLatency: time.Second}, {Place: far}}, "near"},
		"equal but for load": {[]Peer{{Place: near, StoreLatency: 5 * time.Millisecond}, {Place: far, StoreLatency: 8 * time.Millisecond}}, "far"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(homeRegion(tt.peers), tt.want)
		})
	}
}
