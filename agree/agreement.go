package agree

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Errors returned by New, Builder.Agreement and Apply.
var (
	ErrInvalid = errors.New("invalid agreement")
	ErrBase    = errors.New("change does not fit the agreement")
)

// Agreement is an immutable, validated snapshot. Its methods are safe for concurrent use.
type Agreement struct {
	version      ident.Version
	rows         map[Key]*Row                      // immutable; shared with agreements derived from this one
	hashSum      uint64                            // sum of the row hashes
	routes       map[ident.MemberID][]*Row         // longest prefix first
	longTimeouts map[ident.ServiceID]time.Duration // longest timeout of the long routes
}

// Empty returns the agreement of version zero, which has no rows.
func Empty() *Agreement {
	return &Agreement{rows: map[Key]*Row{}, routes: map[ident.MemberID][]*Row{}}
}

// New returns an agreement with the version and rows. The error wraps ErrInvalid and lists
// every problem.
func New(version ident.Version, rows []Row) (*Agreement, error) {
	b := NewBuilder(len(rows), Empty())
	for _, r := range rows {
		b.Add(r)
	}
	return b.Agreement(version)
}

func build(version ident.Version, rows map[Key]*Row) (*Agreement, error) {
	routes, distinct := routesByMember(rows)
	if !distinct || !allValid(rows) {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, Validate(rows))
	}
	a := &Agreement{version: version, rows: rows, routes: routes, longTimeouts: map[ident.ServiceID]time.Duration{}}
	for _, r := range rows {
		a.hashSum += r.Hash()
		if r.Kind == KindRoute && r.Class == Long {
			a.longTimeouts[r.Service] = max(a.longTimeouts[r.Service], r.Timeout)
		}
	}
	return a, nil
}

// routesByMember returns the routes of each member, longest prefix first, and whether the
// prefixes of each member are distinct.
func routesByMember(rows map[Key]*Row) (routes map[ident.MemberID][]*Row, distinct bool) {
	members := 0
	for _, r := range rows {
		if r.Kind == KindMember {
			members++
		}
	}
	routes = make(map[ident.MemberID][]*Row, members)
	for _, r := range rows {
		if r.Kind == KindRoute {
			routes[r.Member] = append(routes[r.Member], r)
		}
	}
	distinct = true
	for _, rs := range routes {
		slices.SortFunc(rs, byPrefixLength)
		for i := range rs[1:] {
			distinct = distinct && rs[i].Prefix != rs[i+1].Prefix
		}
	}
	return routes, distinct
}

func byPrefixLength(a, b *Row) int {
	return cmp.Or(len(b.Prefix)-len(a.Prefix), strings.Compare(a.Prefix, b.Prefix))
}

// Version returns the version of the agreement.
func (a *Agreement) Version() ident.Version { return a.version }

// Len returns the number of rows.
func (a *Agreement) Len() int { return len(a.rows) }

// Hash returns a hash of the rows and the version.
func (a *Agreement) Hash() Hash {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], a.hashSum)
	binary.LittleEndian.PutUint64(b[8:], uint64(a.version))
	return Hash(xxhash.Sum64(b[:]))
}

// Row returns the row with key k.
func (a *Agreement) Row(k Key) (Row, bool) {
	r, ok := a.rows[k]
	if !ok {
		return Row{}, false
	}
	return *r, true
}

// Rows returns all rows in the order of their keys.
func (a *Agreement) Rows() []Row {
	return slices.AppendSeq(make([]Row, 0, len(a.rows)), a.All())
}

// All yields all rows in the order of their keys. Unlike Rows, it does not copy them into a
// slice.
func (a *Agreement) All() iter.Seq[Row] {
	return func(yield func(Row) bool) {
		for _, k := range sortedKeys(a.rows) {
			if !yield(*a.rows[k]) {
				return
			}
		}
	}
}

func sortedKeys(rows map[Key]*Row) []Key {
	keys := slices.AppendSeq(make([]Key, 0, len(rows)), maps.Keys(rows))
	slices.Sort(keys)
	return keys
}

// Cap returns the cap of member in service; zero if there is none.
func (a *Agreement) Cap(member ident.MemberID, service ident.ServiceID) ident.Units {
	if r, ok := a.rows[CapKey(member, service)]; ok {
		return r.Units
	}
	return 0
}

// LongTimeout returns the longest timeout of the long routes to service; zero if there is none.
func (a *Agreement) LongTimeout(service ident.ServiceID) time.Duration {
	return a.longTimeouts[service]
}

// HasMember reports whether member exists.
func (a *Agreement) HasMember(member ident.MemberID) bool {
	_, ok := a.rows[Key("member/"+member)]
	return ok
}

// HasService reports whether service exists.
func (a *Agreement) HasService(service ident.ServiceID) bool {
	_, ok := a.rows[Key("service/"+service)]
	return ok
}

// Route returns the member's route whose prefix is the longest that matches path. A prefix
// matches only whole path segments.
func (a *Agreement) Route(member ident.MemberID, path string) (Row, bool) {
	for _, r := range a.routes[member] {
		if matchesPrefix(r.Prefix, path) {
			return *r, true
		}
	}
	return Row{}, false
}

func matchesPrefix(prefix, path string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
