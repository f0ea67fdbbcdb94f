package peers

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

var announcements = rapid.Custom(func(t *rapid.T) Server {
	n := rapid.IntRange(0, 5).Draw(t, "server")
	return Server{
		Service: ident.ServiceID(fmt.Sprintf("s%d", n%2)), Addr: ident.Addr(fmt.Sprintf("a%d", n)),
		Place:       ident.Place{DataCentre: ident.DataCentre(fmt.Sprintf("dc%d", n%3))},
		State:       rapid.SampledFrom(statesByCode).Draw(t, "state"),
		Incarnation: ident.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
		Seq:         rapid.Uint64Range(1, 4).Draw(t, "seq"),
	}
})

// Guards against forwarders that hold different servers after receiving the same
// announcements in a different order, and against totals that differ from the sum of their
// digests.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// A daemon uses each sequence number for one state only; a forwarder may declare the
		// server gone under the same number.
		byNumber := map[string]Server{}
		for _, s := range rapid.SliceOfN(announcements, 1, 30).Draw(t, "announcements") {
			byNumber[fmt.Sprint(s.Addr, s.Incarnation, s.Seq, s.State == Gone)] = s
		}
		list := slices.Collect(maps.Values(byNumber))
		slices.SortFunc(list, func(a, b Server) int {
			if a.newer(b) {
				return 1
			}
			return -1
		})
		a, b := NewRegistry(), NewRegistry()
		for _, s := range list {
			a.Apply(s)
		}
		for _, i := range rapid.Permutation(indices(len(list))).Draw(t, "order") {
			b.Apply(list[i])
		}
		for _, id := range []ident.ServiceID{"s0", "s1"} {
			if !slices.Equal(a.Servers(id), b.Servers(id)) {
				t.Fatalf("%s: %v and %v", id, a.Servers(id), b.Servers(id))
			}
		}
		for _, r := range []*Registry{a, b} {
			want := map[scope]uint64{}
			for sc, services := range r.digests() {
				for id, d := range services {
					want[sc] += term(id, d)
				}
			}
			if got := r.totals.all(); !maps.Equal(got, want) {
				t.Fatalf("totals %v, digests %v", got, want)
			}
			var sum uint64
			for _, v := range want {
				sum += v
			}
			if got := r.totals.value(scopeAll); got != sum {
				t.Fatalf("total of all scopes %d, sum %d", got, sum)
			}
		}
		if !maps.Equal(a.totals.all(), b.totals.all()) {
			t.Fatal("totals differ")
		}
		n := a.forget(func(e entry) bool { return e.Place.DataCentre == "dc1" })
		if _, ok := a.totals.all()["dc1"]; ok {
			t.Fatalf("total left after %d servers were forgotten", n)
		}
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against a ranking that depends on the order of the daemons, or in which the loss
// of one daemon displaces another.
func TestRankIsStable(t *testing.T) {
	is := is.New(t)
	var all []ident.Addr
	for i := range 190 {
		all = append(all, ident.Addr(fmt.Sprintf("10.0.0.%d:7001", i)))
	}
	three := rank("riga-a", all, forwardersPerDC)
	is.Equal(len(three), forwardersPerDC)
	back := slices.Clone(all)
	slices.Reverse(back)
	is.Equal(rank("riga-a", back, forwardersPerDC), three)
	for _, lost := range all {
		left := slices.DeleteFunc(slices.Clone(all), func(a ident.Addr) bool { return a == lost })
		kept := slices.DeleteFunc(slices.Clone(three), func(a ident.Addr) bool { return a == lost })
		is.Equal(rank("riga-a", left, forwardersPerDC)[:len(kept)], kept)
	}
	is.Equal(len(rank("riga-a", all[:2], forwardersPerDC)), 2)
	is.Equal(len(rank("riga-a", nil, forwardersPerDC)), 0)
}
