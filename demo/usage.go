package demo

import (
	"fmt"
	"slices"
	"sync"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// usage counts the running calls of each member in each service, as the backend servers
// report them.
type usage struct {
	mu      sync.Mutex
	running map[agree.Key]int
	peak    map[agree.Key]int
}

func newUsage() *usage {
	return &usage{running: map[agree.Key]int{}, peak: map[agree.Key]int{}}
}

func (u *usage) observe(m ident.MemberID, s ident.ServiceID, delta int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	k := agree.CapKey(m, s)
	u.running[k] += delta
	u.peak[k] = max(u.peak[k], u.running[k])
}

// exceeded describes the caps that were exceeded. A cap that was changed during the run
// counts with its higher value.
func (u *usage) exceeded(agreements ...*agree.Agreement) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []string
	for k, peak := range u.peak {
		limit := 0
		for _, a := range agreements {
			r, _ := a.Row(k)
			limit = max(limit, int(r.Units))
		}
		if peak > limit {
			out = append(out, fmt.Sprintf("%s: %d calls ran at once, cap %d", k, peak, limit))
		}
	}
	slices.Sort(out)
	return out
}
