package peers

import (
	"maps"
	"slices"
	"sync"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// usage is the set of services that the daemon uses.
type usage struct {
	mu  sync.RWMutex
	ids map[ident.ServiceID]struct{}
}

func newUsage() *usage {
	return &usage{ids: map[ident.ServiceID]struct{}{}}
}

// add adds id and reports whether it is new.
func (u *usage) add(id ident.ServiceID) bool {
	u.mu.RLock()
	_, ok := u.ids[id]
	u.mu.RUnlock()
	if ok {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ids[id] = struct{}{}
	return true
}

func (u *usage) list() []ident.ServiceID {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return slices.Sorted(maps.Keys(u.ids))
}

// digests returns the digests of the used services in r.
func (u *usage) digests(r *Registry) []ServiceDigest {
	var out []ServiceDigest
	for _, id := range u.list() {
		out = append(out, ServiceDigest{Service: id, Digest: r.serviceDigest(id)})
	}
	return out
}
