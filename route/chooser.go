package route

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

const shardCount = 32 // a power of two, about half the number of services (60)

// shard holds the pools of some services.
type shard struct {
	mu    sync.Mutex
	pools map[ident.ServiceID]*pool
}

// Chooser chooses a backend server for each call by the latencies and outcomes of the
// calls of this daemon. Its methods are safe for concurrent use.
type Chooser struct {
	d      Deps
	start  time.Time
	shards [shardCount]shard
}

// New returns a Chooser without observations.
func New(d Deps) *Chooser {
	c := &Chooser{d: d, start: time.Now()}
	for i := range c.shards {
		c.shards[i].pools = map[ident.ServiceID]*pool{}
	}
	return c
}

func shardOf(service ident.ServiceID) uint64 {
	return xxhash.Sum64String(string(service)) % shardCount
}

func (c *Chooser) now() time.Duration {
	return time.Since(c.start)
}

// lock returns the locked shard of service and its pool.
func (c *Chooser) lock(service ident.ServiceID) (*shard, *pool) {
	s := &c.shards[shardOf(service)]
	s.mu.Lock()
	p := s.pools[service]
	if p == nil {
		p = newPool(&c.d.Config, c.d.Place)
		s.pools[service] = p
	}
	return s, p
}

// Choose returns the server for req among servers, which must be ordered by address and must not
// be modified. The error is a *refuse.Refusal with NoServer.
func (c *Chooser) Choose(req Request, servers []peers.Server) (Pick, error) {
	now := c.now()
	suspects := c.suspects(servers)
	s, p := c.lock(req.Service)
	if p.updateServers(servers, now) || suspects != nil || p.hasSuspects {
		p.markSuspects(suspects)
	}
	class := p.classes.classify(&req)
	member := xxhash.Sum64String(string(req.Member))
	n, probe := p.choose(&req, class, member, now, c.d.Random)
	if n == nil {
		s.mu.Unlock()
		r := refuse.NotRun(refuse.NoServer, "no usable server of "+string(req.Service))
		c.d.Stats.Refused(r)
		return Pick{}, r
	}
	k := call{class: class, member: member, route: req.Route, start: now, probe: probe}
	n.takeUnit(memberBucket(member, class))
	n.gauges[k.class].begin(now)
	server := n.server
	s.mu.Unlock()
	return Pick{Server: server, Done: func(o Outcome) { c.done(s, p, n, k, o) }}, nil
}

func (c *Chooser) done(s *shard, p *pool, n *node, k call, o Outcome) {
	now := c.now()
	s.mu.Lock()
	entered, left := p.done(n, k, now, o, c.d.Random)
	addr, service := n.server.Addr, n.server.Service
	s.mu.Unlock()
	if entered {
		c.d.Stats.Inc("Route.Probation")
		c.d.Log.Emit(event.ServerProbation, "Service", service, "Server", addr)
	}
	if left {
		c.d.Stats.Inc("Route.Restored")
		c.d.Log.Emit(event.ServerRestored, "Service", service, "Server", addr)
	}
}

// Class returns the class of a call: the declared one, or long if its route was observed to
// take long.
func (c *Chooser) Class(req Request) agree.Class {
	s, p := c.lock(req.Service)
	defer s.mu.Unlock()
	if p.classes.classify(&req) == 1 {
		return agree.Long
	}
	return agree.Short
}

// HedgeAfter returns the 95th percentile of the recent latency of the service's calls of
// class; false while there are too few calls.
func (c *Chooser) HedgeAfter(service ident.ServiceID, class agree.Class) (time.Duration, bool) {
	s, p := c.lock(service)
	defer s.mu.Unlock()
	return p.recent[classIndex(class)].quantile(c.now())
}

// Report records a load report: the number of calls running at a server. It is used only
// while this daemon has no newer observation.
func (c *Chooser) Report(service ident.ServiceID, addr ident.Addr, inUse ident.Units) {
	s, p := c.lock(service)
	defer s.mu.Unlock()
	if n := p.byAddr[addr]; n != nil {
		n.reportedLoad, n.reportedAt = float64(inUse), c.now()
	}
}

// suspects returns which of the servers are suspect; nil if none is.
func (c *Chooser) suspects(servers []peers.Server) []bool {
	if c.d.Suspect == nil {
		return nil
	}
	var out []bool
	for i := range servers {
		if !c.d.Suspect(servers[i]) {
			continue
		}
		if out == nil {
			out = make([]bool, len(servers))
		}
		out[i] = true
	}
	return out
}
