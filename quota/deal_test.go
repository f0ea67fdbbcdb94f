package quota

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Guards against a unit that moves between holders each time one reports its demand.
func TestRemainderStaysWithItsHolder(t *testing.T) {
	pool := newUnitPool()
	pool.allocs["a"] = &allocation{committed: 1, want: 5}
	pool.allocs["b"] = &allocation{committed: 2, want: 5}
	is := is.New(t)
	for _, want := range []ident.Units{3, 5, 9} {
		pool.allocs["a"].want = want
		is.Equal(pool.fairShareOf("a", 3), ident.Units(1))
		is.Equal(pool.fairShareOf("b", 3), ident.Units(2))
	}
	pool.allocs["b"].want = 1 // less than the highest share
	is.Equal(pool.fairShareOf("a", 3), ident.Units(2))
}

// Guards against units that are allocated twice or not at all, against a holder that gets less
// than another although it wants more, and against a fairShareOf that differs from fairShares.
func TestFairSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pool := newUnitPool()
		units := ident.Units(rapid.IntRange(-3, 60).Draw(rt, "units"))
		total := ident.Units(0)
		for i := range rapid.IntRange(0, 9).Draw(rt, "holders") {
			alloc := &allocation{
				want:      ident.Units(rapid.IntRange(0, 20).Draw(rt, "want")),
				committed: ident.Units(rapid.IntRange(0, 5).Draw(rt, "committed")),
			}
			pool.allocs[ident.Addr(fmt.Sprintf("vm-%d", i))] = alloc
			total += alloc.want
		}
		claims := pool.fairShares(units)
		allocated := ident.Units(0)
		for _, c := range claims {
			allocated += c.fairShare
			if c.fairShare > c.allocation.want || c.fairShare != pool.fairShareOf(c.addr, units) {
				rt.Fatalf("%s wants %d, fairShares gives %d, fairShareOf %d", c.addr, c.allocation.want, c.fairShare, pool.fairShareOf(c.addr, units))
			}
			for _, d := range claims {
				if c.fairShare < c.allocation.want && d.fairShare > c.fairShare+1 {
					rt.Fatalf("%s wants %d and has %d, %s has %d", c.addr, c.allocation.want, c.fairShare, d.addr, d.fairShare)
				}
			}
		}
		if allocated != max(0, min(units, total)) {
			rt.Fatalf("%d of %d units allocated, %d wanted", allocated, units, total)
		}
	})
}
