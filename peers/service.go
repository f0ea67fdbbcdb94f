package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// service holds the servers of one service.
type service struct {
	servers map[ident.Addr]entry
	list    []Server // not gone, ordered by Addr; replaced, never modified
	digests map[scope]uint64
}

type entry struct {
	Server
	goneSince     time.Time // when it became gone in this registry
	unlistedSince time.Time // when it was first missing from the forwarder's list
}

// set replaces old, if it exists, with e and updates digests and list.
func (svc *service) set(old entry, exists bool, e entry, t *totals) {
	change := digest(e.Server)
	if exists && old.scope() == e.scope() {
		change -= digest(old.Server)
	} else if exists {
		svc.add(old.Service, old.scope(), -digest(old.Server), t)
	}
	svc.servers[e.Addr] = e
	svc.add(e.Service, e.scope(), change, t)
	svc.rebuild()
}

// add adds change to the digest of the service within sc, and updates the total of sc.
func (svc *service) add(id ident.ServiceID, sc scope, change uint64, t *totals) {
	before := svc.digests[sc]
	svc.digests[sc] = before + change
	t.add(sc, term(id, before+change)-term(id, before))
}

func (svc *service) rebuild() {
	list := make([]Server, 0, len(svc.servers))
	for _, e := range svc.servers {
		if e.State != Gone {
			list = append(list, e.Server)
		}
	}
	sortServers(list)
	svc.list = list
}

// digest returns the contribution of s to the digest of its service. It is zero for a gone
// server, so that daemons with and without its tombstone agree.
func digest(s Server) uint64 {
	if s.State == Gone {
		return 0
	}
	b := make([]byte, 0, 64)
	b = append(b, s.Addr...)
	b = append(b, 0, s.State.code())
	for _, n := range []uint64{uint64(s.Incarnation), s.Seq} {
		for range 8 {
			b = append(b, byte(n))
			n >>= 8
		}
	}
	return xxhash.Sum64(b)
}
