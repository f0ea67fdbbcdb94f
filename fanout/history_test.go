package fanout

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Guards against a merged delta whose result differs from that of its steps, for example if a
// row was inserted and deleted in between.
func TestMergedChangeEqualsSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		states := []*agree.Agreement{agree.Empty()}
		for v := range rapid.IntRange(1, 12).Draw(t, "steps") {
			var rows []agree.Row
			for i := range 4 {
				if rapid.Bool().Draw(t, "present") {
					rows = append(rows, agree.Row{
						Kind: agree.KindMember, Member: ident.MemberID(fmt.Sprintf("m%d", i)),
						Units: ident.Units(rapid.IntRange(0, 2).Draw(t, "content")),
					})
				}
			}
			next, err := agree.New(ident.Version(v+1), rows)
			if err != nil {
				t.Fatal(err)
			}
			h.record(states[len(states)-1], next)
			states = append(states, next)
		}
		last := states[len(states)-1]
		for _, base := range states[:len(states)-1] {
			c, ok := h.mergeSince(base.Version(), base.Hash())
			if !ok {
				t.Fatalf("history does not reach back to %d", base.Version())
			}
			got, err := base.Apply(last.Version(), c)
			if err != nil || got.Hash() != last.Hash() {
				t.Fatalf("merge from %d: %v", base.Version(), err)
			}
		}
	})
}

// Guards against a history that grows without limit.
func TestHistoryBounded(t *testing.T) {
	var h history
	old := agree.Empty()
	for v := range 3 * maxHistorySteps {
		next, err := agree.New(ident.Version(v+1), []agree.Row{{Kind: agree.KindMember, Member: "m", Units: ident.Units(v)}})
		if err != nil {
			t.Fatal(err)
		}
		h.record(old, next)
		old = next
	}
	if len(h.steps) != maxHistorySteps || h.rowCount != maxHistorySteps {
		t.Fatalf("%d steps with %d rows", len(h.steps), h.rowCount)
	}
	if _, ok := h.mergeSince(1, 0); ok {
		t.Fatal("merged from an evicted base")
	}
}
