package agree

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Change is a set of rows to put and keys to delete.
type Change struct {
	Put    []Row `msgpack:",omitempty"`
	Delete []Key `msgpack:",omitempty"`
}

// IsEmpty reports whether c changes nothing.
func (c Change) IsEmpty() bool { return len(c.Put) == 0 && len(c.Delete) == 0 }

// Len returns the number of rows that c puts or deletes.
func (c Change) Len() int { return len(c.Put) + len(c.Delete) }

// Keys returns the sorted keys of the rows that c puts or deletes.
func (c Change) Keys() []Key {
	out := slices.Clone(c.Delete)
	for _, r := range c.Put {
		out = append(out, r.Key())
	}
	slices.Sort(out)
	return out
}

// Diff returns the change that turns the rows of a into those of b.
func Diff(a, b *Agreement) Change {
	c, _ := DiffWithin(a, b, math.MaxInt)
	return c
}

// DiffWithin is like Diff, but returns false if more than n rows differ.
func DiffWithin(a, b *Agreement, n int) (Change, bool) {
	var put []Key
	var c Change
	for k, r := range b.rows {
		if old, ok := a.rows[k]; !ok || (old != r && *old != *r) {
			if len(put) == n {
				return Change{}, false
			}
			put = append(put, k)
		}
	}
	for k := range a.rows {
		if _, ok := b.rows[k]; !ok {
			if len(put)+len(c.Delete) == n {
				return Change{}, false
			}
			c.Delete = append(c.Delete, k)
		}
	}
	slices.Sort(put)
	for _, k := range put {
		c.Put = append(c.Put, *b.rows[k])
	}
	slices.Sort(c.Delete)
	return c, true
}

// Apply returns a new agreement with c applied to a; a itself is not modified. The error
// wraps ErrBase if version is not above that of a or if c deletes a row that a does not
// have, and ErrInvalid if the result is invalid.
func (a *Agreement) Apply(version ident.Version, c Change) (*Agreement, error) {
	if version <= a.version {
		return nil, fmt.Errorf("%w: version %d is not above %d", ErrBase, version, a.version)
	}
	if a.onlyCaps(c) {
		return a.applyCaps(version, c), nil
	}
	rows := maps.Clone(a.rows)
	for _, k := range c.Delete {
		if _, ok := rows[k]; !ok {
			return nil, fmt.Errorf("%w: no row %s to delete", ErrBase, k)
		}
		delete(rows, k)
	}
	for _, r := range c.Put {
		rows[r.Key()] = &r
	}
	return build(version, rows)
}
