package agree

import (
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// maxPreallocatedRows limits the rows for which memory is allocated in advance, because the
// expected number may come from a corrupt message.
const maxPreallocatedRows = 1 << 16

// Builder builds an agreement from rows added one at a time, so that an agreement decoded in
// parts is never in memory twice. Rows equal to those of an earlier agreement are shared with
// it, and equal strings of all other rows are interned. A Builder is not safe for concurrent
// use.
type Builder struct {
	base       *Agreement
	rows       map[Key]*Row
	interned   map[string]string
	duplicates Problems
}

// NewBuilder returns a Builder for about n rows, which shares equal rows with base.
func NewBuilder(n int, base *Agreement) *Builder {
	return &Builder{base: base, rows: make(map[Key]*Row, min(n, maxPreallocatedRows)), interned: map[string]string{}}
}

// Add adds a row. A second row with the same key makes Agreement fail.
func (b *Builder) Add(r Row) {
	k := r.Key()
	if _, ok := b.rows[k]; ok {
		b.duplicates = append(b.duplicates, Problem{Key: k, Text: "row is given twice"})
	}
	if old, ok := b.base.rows[k]; ok && *old == r {
		b.rows[k] = old
		return
	}
	b.rows[k] = b.internStrings(r)
}

// internStrings returns a copy of r with interned strings.
func (b *Builder) internStrings(r Row) *Row {
	r.Kind, r.Class, r.Repeat = intern(b, r.Kind), intern(b, r.Class), intern(b, r.Repeat)
	r.Member, r.Service, r.Prefix = intern(b, r.Member), intern(b, r.Service), intern(b, r.Prefix)
	return &r
}

// intern returns the first string equal to s that was added.
func intern[S ~string](b *Builder, s S) S {
	first, ok := b.interned[string(s)]
	if !ok {
		b.interned[string(s)] = string(s)
		return s
	}
	return S(first)
}

// Agreement returns the agreement with all rows added. The error wraps ErrInvalid and lists
// the duplicate rows, or else every other problem. The Builder cannot be used afterwards.
func (b *Builder) Agreement(version ident.Version) (*Agreement, error) {
	rows := b.rows
	b.rows, b.interned = nil, nil // the interned strings are not needed for validation
	if len(b.duplicates) > 0 {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, b.duplicates)
	}
	return build(version, rows)
}
