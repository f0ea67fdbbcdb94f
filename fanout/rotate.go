package fanout

import (
	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// rotateByHash returns list rotated by a hash of addr, which distributes the daemons of a data
// centre evenly over its forwarders.
func rotateByHash(addr ident.Addr, list []ident.Addr) []ident.Addr {
	if len(list) < 2 {
		return list
	}
	k := int(xxhash.Sum64String(string(addr)) % uint64(len(list)))
	return append(append(make([]ident.Addr, 0, len(list)), list[k:]...), list[:k]...)
}
