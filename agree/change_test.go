package agree

import (
	"testing"

	"github.com/matryer/is"
)

// TestDiffWithinItsBound guards against a truncated change when more than n rows differ, and
// against a refusal when exactly n rows differ.
func TestDiffWithinItsBound(t *testing.T) {
	tests := map[string]struct {
		n  int
		ok bool
	}{
		"no row":          {0, false},
		"the row put":     {1, false},
		"and one deleted": {2, false},
		"all rows":        {3, true},
		"more":            {4, true},
	}
	a, err := New(1, sampleRows())
	if err != nil {
		t.Fatal(err)
	}
	rows := sampleRows()[:3] // both routes deleted
	rows[2].Units = 9
	b, err := New(2, rows)
	if err != nil {
		t.Fatal(err)
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, ok := DiffWithin(a, b, tt.n)
			is.Equal(ok, tt.ok)
			if ok {
				is.Equal(c, Change{Put: rows[2:], Delete: []Key{"route/all", "route/book"}})
			}
		})
	}
}
