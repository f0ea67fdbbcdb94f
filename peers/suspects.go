package peers

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// suspectShards is the number of shards, each with its own lock.
const suspectShards = 16

// suspects records the daemons to avoid in selection. A suspect daemon is not necessarily
// gone.
type suspects struct {
	shards [suspectShards]suspectShard

	mu   sync.RWMutex
	lost map[ident.DataCentre]struct{}
}

type suspectShard struct {
	mu    sync.RWMutex
	until map[ident.Addr]time.Time // by HTTP or wire address
}

func (s *suspects) init() {
	s.lost = map[ident.DataCentre]struct{}{}
	for i := range s.shards {
		s.shards[i].until = map[ident.Addr]time.Time{}
	}
}

func (s *suspects) shard(a ident.Addr) *suspectShard {
	return &s.shards[xxhash.Sum64String(string(a))%suspectShards]
}

func (s *suspects) set(a ident.Addr, until time.Time) {
	sh := s.shard(a)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for k, t := range sh.until {
		if time.Now().After(t) {
			delete(sh.until, k)
		}
	}
	sh.until[a] = until
}

func (s *suspects) drop(a ident.Addr) {
	sh := s.shard(a)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.until, a)
}

// clear ends the suspicion of a server after a new announcement.
func (s *suspects) clear(srv Server) {
	if srv.State == Gone {
		return
	}
	s.drop(srv.Addr)
	s.drop(srv.Control)
}

func (s *suspects) has(a ident.Addr) bool {
	sh := s.shard(a)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	until, ok := sh.until[a]
	return ok && time.Now().Before(until)
}

func (s *suspects) setLost(dcs []ident.DataCentre) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.lost)
	for _, dc := range dcs {
		s.lost[dc] = struct{}{}
	}
}

func (s *suspects) isLost(dc ident.DataCentre) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.lost[dc]
	return ok
}

// endSuspicion ends the suspicion of a daemon and its server after the new announcement s. The daemon's own record does
// so only if it has no servers: subscribers and other data centres do not get that record, so that the forwarder has
// to ask the daemon to renew its servers.
func (r *Registry) endSuspicion(s Server) {
	if s.isDaemon() && r.suspects.has(s.Control) && r.hasServers(s) {
		return
	}
	r.suspects.clear(s)
}

// hasServers reports whether a server of the daemon, in the process that announced s, is known and not gone.
func (r *Registry) hasServers(s Server) bool {
	found := false
	r.each(func(e entry) {
		found = found || !e.isDaemon() && e.Control == s.Control && e.Incarnation == s.Incarnation && e.State != Gone
	})
	return found
}

// IsSuspect reports whether s should be avoided while other servers remain: its
// daemon missed three heartbeats, its address refused a connection, or its whole data
// centre cannot be reached.
func (r *Registry) IsSuspect(s Server) bool {
	return r.suspects.has(s.Addr) || r.suspects.has(s.Control) || r.suspects.isLost(s.Place.DataCentre)
}

// MarkRefused records that addr, an HTTP or wire address, refused a connection. The suspicion
// ends with the next announcement or after refusedTTL.
func (r *Registry) MarkRefused(addr ident.Addr) {
	r.suspects.set(addr, time.Now().Add(refusedTTL))
}
