package agree

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

func sampleRows() []Row {
	return []Row{
		{Kind: KindMember, Member: "office"},
		{Kind: KindService, Service: "bookings"},
		{Kind: KindCap, Member: "office", Service: "bookings", Units: 3},
		{
			Kind: KindRoute, Route: "book", Member: "office", Service: "bookings", Prefix: "/book",
			Class: Short, Repeat: RepeatByMethod, Timeout: time.Second,
		},
		{
			Kind: KindRoute, Route: "all", Member: "office", Service: "bookings", Prefix: "/",
			Class: Short, Repeat: RepeatIdempotent, Timeout: time.Second,
		},
	}
}

func TestNewRefusesInvalidAgreements(t *testing.T) {
	tests := map[string]struct {
		edit func(rows []Row) []Row
		text string
	}{
		"route whose service is missing":  {func(r []Row) []Row { r[3].Service = "x"; return r }, `unknown service "x"`},
		"route whose cap is missing":      {func(r []Row) []Row { return append(r[:2], r[3:]...) }, "has no cap"},
		"cap whose member is missing":     {func(r []Row) []Row { return r[1:] }, `unknown member "office"`},
		"cap of zero units":               {func(r []Row) []Row { r[2].Units = 0; return r }, "units 0"},
		"row given twice":                 {func(r []Row) []Row { return append(r, r[0]) }, "given twice"},
		"two routes with the same prefix": {func(r []Row) []Row { r[4].Prefix = "/book"; return r }, "also that of"},
		"prefix without a slash":          {func(r []Row) []Row { r[3].Prefix = "book"; return r }, "begin with /"},
		"short route with a long timeout": {func(r []Row) []Row { r[3].Timeout = time.Minute; return r }, "timeout 1m0s"},
		"id that breaks the key's syntax": {func(r []Row) []Row { r[0].Member = "a/b"; return r }, "must be 1 to 63"},
		"unknown class":                   {func(r []Row) []Row { r[3].Class = "x"; return r }, `class "x"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := New(1, tt.edit(sampleRows()))
			is.True(errors.Is(err, ErrInvalid))
			is.True(strings.Contains(err.Error(), tt.text)) // the error names the problem
		})
	}
}

func TestRouteMatchesLongestPrefixAtSegmentBorder(t *testing.T) {
	a, err := New(1, sampleRows())
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct{ path, route string }{
		"exact":                          {"/book", "book"},
		"below":                          {"/book/1", "book"},
		"prefix ends within a segment":   {"/bookshelf", "all"},
		"falls back to a shorter prefix": {"/x", "all"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, ok := a.Route("office", tt.path)
			is.True(ok)
			is.Equal(string(r.Route), tt.route)
		})
	}
}

// TestApplyOfCapsEqualsTheFullState guards against a fast path for caps whose result differs
// from an agreement built from all rows, as other daemons may have built it.
func TestApplyOfCapsEqualsTheFullState(t *testing.T) {
	tests := map[string]struct {
		units ident.Units
		err   error
	}{
		"raised":      {9, nil},
		"unchanged":   {3, nil},
		"zero":        {0, ErrInvalid},
		"above bound": {MaxUnits + 1, ErrInvalid},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, err := New(1, sampleRows())
			is.NoErr(err)
			rows := sampleRows()
			rows[2].Units = tt.units
			got, err := a.Apply(2, Change{Put: rows[2:3]})
			is.True(errors.Is(err, tt.err))
			if tt.err != nil {
				return
			}
			want, err := New(2, rows)
			is.NoErr(err)
			is.Equal(got.Hash(), want.Hash())
			is.Equal(got.Rows(), want.Rows())
			is.Equal(a.Cap("office", "bookings"), ident.Units(3)) // the base is not modified
		})
	}
}

func TestApplyOfDiffGivesTheSameHash(t *testing.T) {
	is := is.New(t)
	a, err := New(1, sampleRows())
	is.NoErr(err)
	rows := sampleRows()[:4]
	rows[2].Units = 9
	b, err := New(2, rows)
	is.NoErr(err)
	c := Diff(a, b)
	is.Equal(c.Len(), 2) // one cap put, one route deleted
	got, err := a.Apply(2, c)
	is.NoErr(err)
	is.Equal(got.Hash(), b.Hash())
	_, err = a.Apply(1, c)
	is.True(errors.Is(err, ErrBase)) // a version must increase
}
