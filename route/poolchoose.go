package route

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
)

// choose returns the server for req, or nil, and whether the call is a probe of a server on probation.
func (p *pool) choose(req *Request, class int, member uint64, now time.Duration, random func() uint64) (*node, bool) {
	p.calls++
	if p.probation > 0 && class == 0 && !req.Hedge {
		if n := p.probe(req, now); n != nil {
			return n, true
		}
	}
	if n := p.chooseHolder(req, class, member, now, random); n != nil {
		return n, false
	}
	if n := p.explore(req, class, member, now); n != nil {
		return n, false
	}
	best := levelNone
	if req.Hedge {
		best = levelBusy // exclusive: a hedge at a loaded server comes too late
		if p.triedSlow(req, class, now) {
			best = levelPaused // the first attempt may last until the deadline
		}
	}
	limit := best
	p.cand = p.cand[:0]
	for _, n := range p.nodes {
		l := p.level(n, class, member, now)
		if l > best || l >= limit || limit == levelBusy && n.queue(now) > 0 || req.Hedge && n.dist == 2 {
			continue
		}
		if len(req.Exclude) > 0 && req.excludes(n.server.Addr) {
			continue
		}
		if l < best {
			best = l
			p.cand = p.cand[:0]
		}
		p.cand = append(p.cand, n)
	}
	switch len(p.cand) {
	case 0:
		return nil, false
	case 1:
		return p.cand[0], false
	}
	return p.pick(class, member, now, random), false
}

// triedSlow reports whether a server that was tried for the call is now known to be slow.
func (p *pool) triedSlow(req *Request, class int, now time.Duration) bool {
	for _, a := range req.Exclude {
		if n := p.byAddr[a]; n != nil && (n.probation || p.slowed(n, class, now)) {
			return true
		}
	}
	return false
}

// rankMargin is the factor by which the score of the server ranked first for the member may exceed that of another.
const rankMargin = 1.25

// pick compares the server ranked first for the member with the better of two random ones.
func (p *pool) pick(class int, member uint64, now time.Duration, random func() uint64) *node {
	top, topRank := 0, uint64(0)
	for i, n := range p.cand {
		if r := ident.RendezvousScoreOfHashes(member, n.hash); r >= topRank {
			top, topRank = i, r
		}
	}
	r := random()
	a, b := p.randomExcept(top, r>>32), p.randomExcept(top, r&0xffffffff)
	other, score := a, p.score(a, class, now, 0)
	if s := p.score(b, class, now, 0); s < score {
		other, score = b, s
	}
	first := p.cand[top]
	// Load up to a quarter of the slots is not counted, so that a member's few calls stay together.
	free := float64(first.server.Slots) / 4
	if p.score(first, class, now, free) <= rankMargin*score {
		return first
	}
	return other
}

// randomExcept returns a random candidate other than the one at index top.
func (p *pool) randomExcept(top int, r uint64) *node {
	i := int(r % uint64(len(p.cand)-1))
	if i >= top {
		i++
	}
	return p.cand[i]
}

// score returns the product of load and latency, without the first free calls of the load; lower is better.
func (p *pool) score(n *node, class int, now time.Duration, free float64) float64 {
	lat := n.gauges[class].expect(now, n.rtt, p.median[class])
	if n.gauges[class].samples == 0 {
		lat = max(lat, p.median[class])
	}
	load := max(0, n.load(now, p.cfg.HintAge)-free)
	return (lat + n.rtt + 1) * (1 + load) / n.ramp(now, p.cfg.WarmUp)
}

// probe returns the server on probation whose probe is due, or nil. Only one probe runs at a time.
func (p *pool) probe(req *Request, now time.Duration) *node {
	const maxWait = time.Minute // for services with few calls, so that a probation ends
	if p.calls < p.cfg.ProbeCalls && now-p.lastProbe < maxWait && !p.lastProbeGood {
		return nil
	}
	var due *node
	for _, n := range p.nodes {
		if n.probing {
			return nil
		}
		if n.probation && now >= n.probeAt && n.server.State == peers.Ready && !n.suspect &&
			now >= n.pausedUntil && now >= n.unreachableUntil && !req.excludes(n.server.Addr) &&
			(due == nil || n.probeAt < due.probeAt) {
			due = n
		}
	}
	if due != nil {
		due.probing = true
		p.calls, p.lastProbe = 0, now
	}
	return due
}

const (
	// exploreEvery is the number of calls after which one goes to the server of the region that
	// was observed longest ago. A daemon that only uses the server beside it could not
	// recognise that this is slower than the others.
	exploreEvery = 64
	// exploreFirst is that number while the server has too few samples to be compared.
	exploreFirst = 4
)

// explore returns the server of the region that a call of class is sent to for a new observation, or nil.
func (p *pool) explore(req *Request, class int, member uint64, now time.Duration) *node {
	p.sinceExplore++
	if class != 0 || p.sinceExplore%exploreFirst != 0 {
		return nil
	}
	var oldest *node
	for _, n := range p.nodes {
		if l := p.level(n, 0, member, now); (l == levelNear || l == levelRegion) &&
			(oldest == nil || n.observedAt < oldest.observedAt) && !req.excludes(n.server.Addr) {
			oldest = n
		}
	}
	if oldest == nil || p.sinceExplore < exploreEvery && oldest.gauges[0].samples >= minSamples {
		return nil
	}
	p.sinceExplore = 0
	return oldest
}
