package agree

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// TestHashKeepsItsInput guards against a change of the hash input, after which daemons of
// different releases compute different hashes for the same row.
func TestHashKeepsItsInput(t *testing.T) {
	tests := map[string]Row{
		"empty":          {},
		"member":         {Kind: KindMember, Member: "office"},
		"quoted":         {Kind: KindRoute, Route: `a"b\`, Prefix: "/\n\x00\xff/é\u2028", Class: Long},
		"long":           {Kind: KindRoute, Prefix: "/" + string(make([]byte, 4*hashBufferBytes))},
		"cap":            {Kind: KindCap, Member: "office", Service: "bookings", Units: 3},
		"negative units": {Kind: KindCap, Units: -3, Timeout: -time.Second},
		"timeout":        {Kind: KindRoute, Repeat: RepeatIdempotent, Timeout: 4 * time.Hour},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := fmt.Sprintf("%q%q%q%q%d%q%q%q%d", r.Kind, r.Member, r.Service, r.Route,
				r.Units, r.Prefix, r.Class, r.Repeat, r.Timeout)
			is.Equal(r.Hash(), xxhash.Sum64String(in))
		})
	}
}

// TestNewRefusesWhatValidateRefuses guards against a fast check in New that misses a problem
// found by Validate, or that refuses rows for which Validate finds none.
func TestNewRefusesWhatValidateRefuses(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	refused := 0
	for range 2000 {
		rows := rowsOf(160)
		for range rnd.IntN(4) {
			corruptRow(rnd, rows)
		}
		byKey := map[Key]*Row{}
		for _, r := range rows {
			byKey[r.Key()] = &r
		}
		if len(byKey) < len(rows) {
			continue // New refuses duplicate rows before validation
		}
		is := is.New(t)
		want := Validate(byKey)
		_, err := New(1, rows)
		is.Equal(err != nil, len(want) > 0)
		if err == nil {
			continue
		}
		refused++
		var got Problems
		is.True(errors.As(err, &got))
		is.Equal(got, want)
	}
	is.New(t).True(refused > 500) // enough cases were invalid
}

// corruptRow changes one row in a way that is often invalid.
func corruptRow(rnd *rand.Rand, rows []Row) {
	r, other := &rows[rnd.IntN(len(rows))], rows[rnd.IntN(len(rows))]
	switch rnd.IntN(8) {
	case 0:
		r.Prefix = other.Prefix
	case 1:
		r.Member = other.Member
	case 2:
		r.Service = other.Service
	case 3:
		r.Units = ident.Units(rnd.IntN(3)) - 1
	case 4:
		r.Timeout = time.Duration(rnd.IntN(9)) * time.Second
	case 5:
		r.Class = other.Class
	case 6:
		r.Member += " x"
	case 7:
		r.Kind = other.Kind
	}
}

// TestBuilderSharesStrings guards against a separate copy of a member's ID in each row.
func TestBuilderSharesStrings(t *testing.T) {
	is := is.New(t)
	b := NewBuilder(0, Empty())
	for _, r := range sampleRows() {
		r.Member = ident.MemberID([]byte(r.Member)) // a separate copy, as a decoder returns it
		b.Add(r)
	}
	a, err := b.Agreement(1)
	is.NoErr(err)
	member, _ := a.Row("member/office")
	route, _ := a.Row("route/book")
	is.Equal(unsafe.StringData(string(member.Member)), unsafe.StringData(string(route.Member)))
}

// TestBuilderSharesRowsOfBase guards against copies of rows that are equal in the base, and
// against the reuse of a base row whose content differs.
func TestBuilderSharesRowsOfBase(t *testing.T) {
	is := is.New(t)
	base, err := New(1, rowsOf(500))
	is.NoErr(err)
	rows := rowsOf(500)
	b := NewBuilder(len(rows), base)
	for i := range rows {
		if rows[i].Kind == KindCap {
			rows[i].Units++
		}
		b.Add(rows[i])
	}
	got, err := b.Agreement(2)
	is.NoErr(err)
	want, err := New(2, rows)
	is.NoErr(err)
	is.Equal(got.Hash(), want.Hash())
	is.Equal(got.Rows(), want.Rows())
	for k, r := range got.rows {
		is.Equal(r == base.rows[k], r.Kind != KindCap)
	}
}
