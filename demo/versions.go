package demo

import (
	"fmt"
	"sync"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// versions records the Versions that each address served, across restarts of its daemon.
type versions struct {
	mu        sync.Mutex
	last      map[ident.Addr]ident.Version
	regressed []string
}

func newVersions() *versions {
	return &versions{last: map[ident.Addr]ident.Version{}}
}

func (v *versions) observe(a ident.Addr, cur ident.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.last[a]; cur < old {
		v.regressed = append(v.regressed, fmt.Sprintf("%s regressed from Version %d to %d", a, old, cur))
	}
	v.last[a] = cur
}

// regressions describes each change of an address to an older Version.
func (v *versions) regressions() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.regressed...)
}
