package peers

import (
	"context"
	"sync"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// subscribers are the connected daemons that receive changes to the services they use.
type subscribers struct {
	a *Agent

	mu sync.Mutex
	m  map[*wire.Conn]*subscriber
}

type subscriber struct {
	outbox   *outbox
	services map[ident.ServiceID]struct{}
	differs  int // consecutive heartbeats with a different digest
}

func newSubscribers(a *Agent) *subscribers {
	return &subscribers{a: a, m: map[*wire.Conn]*subscriber{}}
}

// set replaces the services of the subscriber on c.
func (s *subscribers) set(c *wire.Conn, ids []ServiceDigest) {
	services := make(map[ident.ServiceID]struct{}, len(ids))
	for _, d := range ids {
		services[d.Service] = struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub, ok := s.m[c]; ok {
		sub.services, sub.differs = services, 0
		return
	}
	sub := &subscriber{outbox: newOutbox(s.a.d.Registry.suspects.has), services: services}
	s.m[c] = sub
	go func() {
		sub.outbox.run(context.Background(), c, "")
		s.mu.Lock()
		delete(s.m, c)
		s.mu.Unlock()
	}()
}

func (s *subscribers) push(srv Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.m {
		if _, ok := sub.services[srv.Service]; ok {
			sub.outbox.add(srv)
		}
	}
}

func (s *subscribers) suspect(m Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.m {
		sub.outbox.suspect(m)
	}
}

// differs reports whether the digest of the services used on c has differed in three
// consecutive heartbeats. A single difference is usually a change in flight.
func (s *subscribers) differs(c *wire.Conn, used uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub, ok := s.m[c]
	if !ok {
		return used != 0
	}
	var own uint64
	for id := range sub.services {
		own += s.a.d.Registry.serviceDigest(id)
	}
	if own == used {
		sub.differs = 0
		return false
	}
	sub.differs++
	return sub.differs > 2
}
