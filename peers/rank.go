package peers

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// forwardersPerDC is the number of forwarders in a data centre; it tolerates the loss of
// two at once.
const forwardersPerDC = 3

// rank returns the first n of addrs by rendezvous hashing with key. All daemons that know
// the same addresses get the same result.
func rank(key string, addrs []ident.Addr, n int) []ident.Addr {
	left := make([]string, 0, len(addrs))
	for _, a := range addrs {
		left = append(left, string(a))
	}
	slices.Sort(left)
	left = slices.Compact(left)
	var out []ident.Addr
	for len(out) < n && len(left) > 0 {
		first := rendezvous.New(left, xxhash.Sum64String).Lookup(key)
		out = append(out, ident.Addr(first))
		left = slices.DeleteFunc(left, func(s string) bool { return s == first })
	}
	return out
}
