package fanout

import (
	"cmp"
	"slices"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

// sortChange sorts c by key, so that equal changes are encoded to equal bytes.
func sortChange(c agree.Change) agree.Change {
	slices.SortFunc(c.Put, func(a, b agree.Row) int { return cmp.Compare(a.Key(), b.Key()) })
	slices.Sort(c.Delete)
	return c
}
