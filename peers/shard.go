package peers

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// shard holds the services whose names hash to it, under its own lock.
type shard struct {
	// notifyMu serialises changes, so that watchers see those of a service in order.
	notifyMu sync.Mutex
	mu       sync.RWMutex
	services map[ident.ServiceID]*service
}

func (sh *shard) put(s Server, t *totals) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	svc, ok := sh.services[s.Service]
	if !ok {
		svc = &service{servers: map[ident.Addr]entry{}, digests: map[scope]uint64{}}
		sh.services[s.Service] = svc
	}
	old, ok := svc.servers[s.Addr]
	if ok && !s.newer(old.Server) {
		return false
	}
	e := entry{Server: s}
	if s.State == Gone {
		e.goneSince = time.Now()
	}
	svc.set(old, ok, e, t)
	return true
}
