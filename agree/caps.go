package agree

import (
	"maps"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// onlyCaps reports whether c only sets the units of existing caps to valid values, as most
// corrections do. Such a change needs no validation, since it affects no reference between
// rows.
func (a *Agreement) onlyCaps(c Change) bool {
	if len(c.Delete) > 0 {
		return false
	}
	for _, r := range c.Put {
		old, ok := a.rows[r.Key()]
		if !ok || r.Kind != KindCap || r.Units < 1 || r.Units > MaxUnits {
			return false
		}
		changed := *old
		changed.Units = r.Units
		if changed != r {
			return false
		}
	}
	return true
}

// applyCaps applies a change for which onlyCaps returned true. The result shares the routes
// of a.
func (a *Agreement) applyCaps(version ident.Version, c Change) *Agreement {
	next := &Agreement{version: version, rows: maps.Clone(a.rows), hashSum: a.hashSum, routes: a.routes, longTimeouts: a.longTimeouts}
	for _, r := range c.Put {
		k := r.Key()
		next.hashSum += r.Hash() - next.rows[k].Hash()
		next.rows[k] = &r
	}
	return next
}
