package quota

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Guards against a unit that a holder is granted for its first calls and loses when it reports
// all of them: the unit moved back and forth, and only 39 of 40 units could be used.
func TestFairShareKeepsUnitsWhenDemandGrows(t *testing.T) {
	is := is.New(t)
	pool := newUnitPool()
	for i, committed := range []ident.Units{3, 3, 3, 3, 3, 2, 2, 0} {
		addr := ident.Addr(fmt.Sprintf("vm-%02d:7000", i))
		pool.allocs[addr] = &allocation{committed: committed, want: 20}
	}
	const asking ident.Addr = "vm-06:7000"
	pool.allocs[asking].want = 4
	first := pool.fairShareOf(asking, 20)
	pool.allocs[asking].want = 20
	is.Equal(first, pool.fairShareOf(asking, 20))
	is.Equal(pool.fairShareOf("vm-07:7000", 20), ident.Units(2)) // it has none of them yet
}

// Guards against fair shares that add up to more or fewer units than there are, and against a
// holder that gets less when it wants more.
func TestFairShareOfEachHolderIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := newUnitPool()
		total := ident.Units(0)
		n := rapid.IntRange(1, 12).Draw(t, "holders")
		for i := range n {
			want := ident.Units(rapid.IntRange(0, 12).Draw(t, "want"))
			committed := ident.Units(rapid.IntRange(0, 6).Draw(t, "committed"))
			pool.allocs[ident.Addr(fmt.Sprintf("vm-%02d:7000", i))] = &allocation{committed: committed, want: want}
			total += want
		}
		units := ident.Units(rapid.IntRange(0, 60).Draw(t, "units"))
		allocated, low, high := ident.Units(0), units, ident.Units(0)
		for addr, alloc := range pool.allocs {
			got := pool.fairShareOf(addr, units)
			allocated += got
			high = max(high, got)
			if got > alloc.want {
				t.Fatalf("%s wants %d and gets %d", addr, alloc.want, got)
			}
			if got < alloc.want {
				low = min(low, got)
			}
			alloc.want++
			if more := pool.fairShareOf(addr, units); more < got {
				t.Fatalf("%s gets %d when it wants %d, and %d when it wants %d", addr, got, alloc.want-1, more, alloc.want)
			}
			alloc.want--
		}
		if allocated != min(units, total) {
			t.Fatalf("%d of %d units allocated for a demand of %d", allocated, units, total)
		}
		if allocated < total && high > low+1 {
			t.Fatalf("one holder gets %d and another, which wants more, %d", high, low)
		}
	})
}
