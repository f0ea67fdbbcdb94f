package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

const (
	medianEvery      = 8 // outcomes between two updates of the median
	minSamples       = 3 // outcomes before a server's latency is compared
	goodProbes       = 2 // successful probes that end a probation
	slowCalls        = 3 // slow calls in a row that start a probation; fewer occur by chance in a queue
	maxProbeInterval = 4 * time.Second
)

// pool is the state of the servers of one service. It is guarded by the lock of its shard.
type pool struct {
	cfg   *Config
	place ident.Place

	list   []peers.Server // the list that nodes was built from
	nodes  []*node        // in the order of list
	byAddr map[ident.Addr]*node

	median        [2]float64 // median latency of the servers, microseconds
	outcomes      int
	hasSuspects   bool // markSuspects was last called with suspects
	regionReady   bool // the region has a ready server that is not suspect
	probation     int  // servers on probation
	sinceExplore  int  // calls since the last one to another server of the region
	lastProbeGood bool // the last probe was successful, so the next one may follow at once
	calls         int  // since the last probe
	lastProbe     time.Duration
	recent        [2]*latencyWindow
	classes       classes
	baseRanks     baseRankCache

	cand    []*node   // reused by choose
	scratch []float64 // reused by updateMedian
}

func newPool(cfg *Config, place ident.Place) *pool {
	return &pool{
		cfg:    cfg,
		place:  place,
		byAddr: map[ident.Addr]*node{},
		recent: [2]*latencyWindow{newLatencyWindow(), newLatencyWindow()},
	}
}

// updateServers updates nodes from list and reports whether the list has changed. A list is
// immutable, so the same backing array means that nothing has changed; the pool's reference keeps
// that array from being reused.
func (p *pool) updateServers(list []peers.Server, now time.Duration) bool {
	if len(list) == len(p.list) && (len(list) == 0 || &list[0] == &p.list[0]) {
		return false
	}
	first := p.list == nil
	p.list = list
	p.baseRanks.clear()
	p.nodes = p.nodes[:0]
	keep := make(map[ident.Addr]*node, len(list))
	for _, s := range list {
		n := p.byAddr[s.Addr]
		if n == nil {
			n = &node{hash: xxhash.Sum64String(string(rankAddr(s))), warmFrom: -1}
			if !first && s.State == peers.Ready {
				n.warmFrom = now // announced since the daemon started, hence cold
			}
		}
		n.update(s, p, now)
		keep[s.Addr] = n
		p.nodes = append(p.nodes, n)
	}
	p.byAddr = keep
	p.countProbation()
	return true
}

// markSuspects sets which servers are suspect, by their index in the list. They are skipped while
// another server is ready.
func (p *pool) markSuspects(suspects []bool) {
	others := false
	p.regionReady, p.hasSuspects = false, suspects != nil
	for i, n := range p.nodes {
		n.suspect = suspects != nil && suspects[i]
		if !n.suspect && n.server.State == peers.Ready {
			others = true
			p.regionReady = p.regionReady || n.dist < 2
		}
	}
	if !others {
		for _, n := range p.nodes {
			n.suspect = false
			p.regionReady = p.regionReady || n.dist < 2 && n.server.State == peers.Ready
		}
	}
}

func (n *node) update(s peers.Server, p *pool, now time.Duration) {
	old := n.server
	n.server = s
	n.dist = p.place.Distance(s.Place)
	n.rtt = float64(p.cfg.RoundTrip[n.dist].Microseconds())
	if old.Addr == "" {
		return
	}
	if old.Incarnation != s.Incarnation || (old.State != peers.Ready && s.State == peers.Ready) {
		n.warmFrom = now
		n.probation, n.probing = false, false
		n.pausedUntil, n.unreachableUntil, n.pauses, n.failures = 0, 0, 0, 0
		n.memberUntil = [memberBuckets]time.Duration{}
		n.freeUnits = [memberBuckets]uint8{}
		n.gauges[0].samples, n.gauges[1].samples = 0, 0
		n.gauges[0].ewma, n.gauges[1].ewma = 0, 0
	}
}

func (p *pool) countProbation() {
	p.probation = 0
	for _, n := range p.nodes {
		if n.probation {
			p.probation++
		}
	}
}

// updateMedian computes the median latency of the servers, the lower one of an even number, so
// that slow servers are recognised even if half of them are slow.
func (p *pool) updateMedian(class int) {
	p.scratch = p.scratch[:0]
	for _, n := range p.nodes {
		if n.gauges[class].samples >= minSamples && n.server.State == peers.Ready {
			p.scratch = append(p.scratch, n.gauges[class].ewma)
		}
	}
	if len(p.scratch) < 2 {
		p.median[class] = 0
		return
	}
	slices.Sort(p.scratch)
	p.median[class] = p.scratch[(len(p.scratch)-1)/2]
}

// slow reports whether us is the latency of a slow server.
func (p *pool) slow(class int, us float64) bool {
	median := p.median[class]
	return median > 0 && us > p.cfg.SlowFactor*median && us > median+float64(p.cfg.SlowFloor.Microseconds())
}

func (p *pool) observe(g *gauge, class int, now time.Duration, us float64) {
	g.observe(now, us, p.median[class])
	if p.slow(class, us) {
		g.slow++
	} else {
		g.slow = 0
	}
}

// startProbation puts n on probation unless a third of the servers already are.
func (p *pool) startProbation(n *node, now time.Duration) bool {
	if n.probation {
		return false
	}
	if 3*(p.probation+1) > len(p.nodes) {
		// Servers on probation may have recovered but still count, which keeps this slow one in use.
		// They are probed now.
		for _, x := range p.nodes {
			x.probeAt = min(x.probeAt, now)
		}
		return false
	}
	n.probation, n.good = true, 0
	n.probeEvery = p.cfg.ProbeEvery
	n.probeAt = now + n.probeEvery
	p.probation++
	return true
}

// done records the outcome of a call. It reports whether the server
// entered or left probation.
func (p *pool) done(n *node, c call, now time.Duration, o Outcome, random func() uint64) (entered, left bool) {
	class := c.class
	g := &n.gauges[class]
	g.end(c.start)
	if c.probe {
		n.probing = false
		if n.probation && o.Refused == refuse.Cancelled {
			p.delayProbe(n, now) // a hedged call was faster, or the caller has left
		}
	}
	switch {
	case o.ConnRefused:
		n.unreachableUntil = now + n.pause(time.Second, 8, random)
	case o.Refused != "":
		p.refused(n, c, now, o, random)
	case o.Failed:
		n.failures++
		n.observedAt = now
		if n.failures >= minSamples {
			n.pausedUntil = now + n.pause(5*p.cfg.RefusalPause, 32, random)
		}
	default:
		n.observedAt, n.failures, n.pauses = now, 0, 0
		n.waiting = o.Waiting
		n.memberUntil[memberBucket(c.member, class)] = 0
		n.returnUnit(memberBucket(c.member, class), now)
		us := max(0, float64(o.Latency.Microseconds())-n.rtt)
		p.observe(g, class, now, us)
		p.classes.add(c.route, class, now, us)
		p.recent[class].add(now, o.Latency)
		p.outcomes++
		if p.outcomes%medianEvery == 0 || p.median[class] == 0 {
			p.updateMedian(class)
		}
		if n.probation && c.probe {
			return false, p.evaluateProbe(n, class, us, now)
		}
	}
	if g.samples >= minSamples && g.slow >= slowCalls && p.slow(class, g.ewma) {
		return p.startProbation(n, now), false
	}
	return false, false
}

// evaluateProbe records the result of a probe and reports whether the probation ends.
func (p *pool) evaluateProbe(n *node, class int, us float64, now time.Duration) bool {
	p.lastProbeGood = !p.slow(class, us)
	if !p.lastProbeGood {
		p.delayProbe(n, now)
		return false
	}
	n.good++
	n.probeAt = now
	if n.good < goodProbes {
		return false
	}
	n.probation, p.lastProbeGood = false, false
	p.probation--
	g := &n.gauges[class]
	g.ewma, g.samples = us, minSamples-1
	n.warmFrom = now - p.cfg.WarmUp/2 // half of the ramp: the server is warm, but may be slow again
	return true
}

// delayProbe doubles the wait for the next probe after an unsuccessful one.
func (p *pool) delayProbe(n *node, now time.Duration) {
	p.lastProbeGood, n.good = false, 0
	n.probeEvery = min(2*n.probeEvery, maxProbeInterval)
	n.probeAt = now + n.probeEvery
}

// rankAddr returns the address that determines the ranks of a server: that of its daemon for
// control messages, by which the holders of units are listed.
func rankAddr(s peers.Server) ident.Addr {
	if s.Control == "" {
		return s.Addr
	}
	return s.Control
}
