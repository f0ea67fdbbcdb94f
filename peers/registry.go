package peers

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// registryShards is the number of shards, each with its own lock.
const registryShards = 16

// Retention of outdated entries.
const (
	// tombstoneTTL is how long a gone server is remembered, longer than any message about
	// it can be in flight.
	tombstoneTTL = 10 * time.Minute
	// suspicionTTL is how long a suspicion lasts unless it is repeated.
	suspicionTTL = 30 * time.Second
	// refusedTTL is how long an address that refused a connection stays suspect. A
	// daemon that restarts announces itself sooner.
	refusedTTL = 5 * time.Second
)

// Registry holds the known daemons and backend servers.
type Registry struct {
	shards   [registryShards]shard
	suspects suspects
	totals   totals

	watchMu  sync.RWMutex
	watchers []func(Server, source)
}

// source is where an announcement came from.
type source int

const (
	fromSelf source = iota
	fromDaemon
	fromSibling // forwarder of the own data centre
	fromRemote  // forwarder of another data centre
	fromForwarder
)

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	r := &Registry{totals: totals{m: map[scope]*scopeTotal{}}}
	r.suspects.init()
	for i := range r.shards {
		r.shards[i].services = map[ident.ServiceID]*service{}
	}
	return r
}

func (r *Registry) shard(s ident.ServiceID) *shard {
	return &r.shards[xxhash.Sum64String(string(s))%registryShards]
}

// Servers returns the servers of the service that are not gone, ordered by Addr. The
// caller must not modify the list.
func (r *Registry) Servers(id ident.ServiceID) []Server {
	sh := r.shard(id)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	if svc, ok := sh.services[id]; ok {
		return svc.list
	}
	return nil
}

// Apply stores an announcement. It returns false if s is not newer than the known entry.
func (r *Registry) Apply(s Server) bool { return r.apply(s, fromSelf) }

// Watch calls f after each change, in order for each server. f must not call Apply.
func (r *Registry) Watch(f func(Server)) {
	r.watchFrom(func(s Server, _ source) { f(s) })
}

func (r *Registry) watchFrom(f func(Server, source)) {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	r.watchers = append(r.watchers, f)
}

func (r *Registry) apply(s Server, from source) bool {
	sh := r.shard(s.Service)
	sh.notifyMu.Lock()
	defer sh.notifyMu.Unlock()
	if !sh.put(s, &r.totals) {
		return false
	}
	r.endSuspicion(s)
	r.watchMu.RLock()
	defer r.watchMu.RUnlock()
	for _, f := range r.watchers {
		f(s, from)
	}
	return true
}

// revive removes the tombstone of s if the forwarder lists it as live under the same
// sequence number. A daemon that is not a forwarder mirrors its forwarder; the tombstone may
// come from a forwarder that was partitioned.
func (r *Registry) revive(s Server) {
	if old, ok := r.lookup(s.Service, s.Addr); !ok || old.State != Gone || s.State == Gone ||
		old.Incarnation != s.Incarnation || old.Seq != s.Seq {
		return
	}
	r.forget(func(e entry) bool { return e.Service == s.Service && e.Addr == s.Addr && e.State == Gone })
}

// lookup returns the entry of a server, gone or not.
func (r *Registry) lookup(id ident.ServiceID, addr ident.Addr) (Server, bool) {
	sh := r.shard(id)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	if svc, ok := sh.services[id]; ok {
		e, ok := svc.servers[addr]
		return e.Server, ok
	}
	return Server{}, false
}

// each calls f with every entry.
func (r *Registry) each(f func(e entry)) {
	for i := range r.shards {
		sh := &r.shards[i]
		sh.mu.RLock()
		for _, svc := range sh.services {
			for _, e := range svc.servers {
				f(e)
			}
		}
		sh.mu.RUnlock()
	}
}

// digests returns the digests of all services by scope. Empty services are left out.
func (r *Registry) digests() map[scope]map[ident.ServiceID]uint64 {
	out := map[scope]map[ident.ServiceID]uint64{}
	for i := range r.shards {
		sh := &r.shards[i]
		sh.mu.RLock()
		for id, svc := range sh.services {
			for sc, d := range svc.digests {
				if d == 0 {
					continue
				}
				if out[sc] == nil {
					out[sc] = map[ident.ServiceID]uint64{}
				}
				out[sc][id] = d
			}
		}
		sh.mu.RUnlock()
	}
	return out
}

// serviceDigest returns the digest of one service over all scopes.
func (r *Registry) serviceDigest(id ident.ServiceID) uint64 {
	sh := r.shard(id)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	var out uint64
	if svc, ok := sh.services[id]; ok {
		for _, d := range svc.digests {
			out += d
		}
	}
	return out
}

// list returns the entries of a service within sc, or in all scopes if sc is empty,
// including gone servers.
func (r *Registry) list(id ident.ServiceID, sc scope) []Server {
	sh := r.shard(id)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	svc, ok := sh.services[id]
	if !ok {
		return nil
	}
	var out []Server
	for _, e := range svc.servers {
		if sc == "" || e.scope() == sc {
			out = append(out, e.Server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.Addr, b.Addr) })
	return out
}

// services returns the ids of the services within sc.
func (r *Registry) services(sc scope) []ident.ServiceID {
	ids := map[ident.ServiceID]struct{}{}
	r.each(func(e entry) {
		if e.scope() == sc {
			ids[e.Service] = struct{}{}
		}
	})
	return slices.Sorted(maps.Keys(ids))
}

// sweep forgets servers that have been gone for tombstoneTTL.
func (r *Registry) sweep() {
	r.forget(func(e entry) bool { return e.State == Gone && time.Since(e.goneSince) > tombstoneTTL })
}

// forget removes the entries that f selects, without tombstones, and returns their number.
func (r *Registry) forget(f func(entry) bool) int {
	n := 0
	for i := range r.shards {
		sh := &r.shards[i]
		sh.mu.Lock()
		for id, svc := range sh.services {
			before := len(svc.servers)
			for addr, e := range svc.servers {
				if f(e) {
					svc.add(id, e.scope(), -digest(e.Server), &r.totals)
					delete(svc.servers, addr)
				}
			}
			if before == len(svc.servers) {
				continue
			}
			n += before - len(svc.servers)
			svc.rebuild()
			if len(svc.servers) == 0 {
				delete(sh.services, id)
			}
		}
		sh.mu.Unlock()
	}
	return n
}

// forgetUnlisted forgets the servers of a service that have been missing from a forwarder's
// complete lists for limit. It leaves no tombstones, so that the same announcement can
// restore a server.
func (r *Registry) forgetUnlisted(id ident.ServiceID, listed map[ident.Addr]struct{}, limit time.Duration) int {
	sh := r.shard(id)
	sh.mu.Lock()
	if svc, ok := sh.services[id]; ok {
		for addr, e := range svc.servers {
			switch _, ok := listed[addr]; {
			case ok:
				e.unlistedSince = time.Time{}
			case e.unlistedSince.IsZero():
				e.unlistedSince = time.Now()
			}
			svc.servers[addr] = e
		}
	}
	sh.mu.Unlock()
	return r.forget(func(e entry) bool {
		return e.Service == id && !e.unlistedSince.IsZero() && time.Since(e.unlistedSince) > limit
	})
}
