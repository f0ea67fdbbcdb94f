package route

import (
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
)

const (
	// maxFreeUnitAge is how long a unit that a call of this daemon returned counts as free at its holder.
	// A floating unit that is idle for longer goes back to the keeper.
	maxFreeUnitAge = 400 * time.Millisecond
	// crossRegionAfter is the number of servers tried after which a call that was refused for the cap
	// may cross the paid link even if servers of the region are left. A region has a quarter of
	// the holders, and five attempts do not reach more than these.
	crossRegionAfter = 2
)

// Flags of a server at which a member is less likely to get a unit, in ascending order of importance.
const (
	unitNotSeen     = 1 << iota // no call of the member from this daemon has returned a unit there recently
	unitCrossRegion             // across the paid link
	unitNoBase                  // the server has no base unit for the member
	unitRefused                 // the server has refused the member recently
)

// chooseHolder returns the server for a call of a member whose cap is too small for a base unit at
// each server, or nil if there is no preferred one. Only a call that was refused for the cap
// crosses the paid link here, or goes to a server that has just refused the member.
func (p *pool) chooseHolder(req *Request, class int, member uint64, now time.Duration, random func() uint64) *node {
	base := int(req.Cap+1) / 2
	if req.Cap == 0 || req.Hedge || base >= len(p.nodes) {
		return nil
	}
	minRank := p.baseRanks.get(p.nodes, member, base)
	best := -1
	p.cand = p.cand[:0]
	for _, n := range p.nodes {
		flags, ok := p.unitFlags(req, n, class, member, now)
		if !ok || req.excludes(n.server.Addr) {
			continue
		}
		if flags&unitNotSeen > 0 && ident.RendezvousScoreOfHashes(member, n.hash) < minRank {
			flags |= unitNoBase
		}
		if best < 0 || flags < best {
			best, p.cand = flags, p.cand[:0]
		}
		if flags == best {
			p.cand = append(p.cand, n)
		}
	}
	switch {
	case len(p.cand) == 0:
		return nil
	case len(p.cand) == 1:
		return p.cand[0]
	case req.Capped || best&unitNoBase > 0:
		// All entry daemons choose this server, so that units stay there.
		return slices.MaxFunc(p.cand, func(a, b *node) int { return compareRank(member, a, b) })
	}
	return p.pick(class, member, now, random)
}

// unitFlags returns the flags of n except unitNoBase, and whether n may be used.
func (p *pool) unitFlags(req *Request, n *node, class int, member uint64, now time.Duration) (flags int, ok bool) {
	i := memberBucket(member, class)
	switch l := p.level(n, class, member, now); {
	case l <= levelRegion, req.Capped && l == levelRemote:
	case req.Capped && n.dist < 2 && now < n.memberUntil[i] && n.available(now):
		flags = unitRefused
	default:
		return 0, false
	}
	if n.freeUnits[i] > 0 && now-n.unitFreedAt[i] < maxFreeUnitAge {
		return flags, true
	}
	if n.dist == 2 && len(req.Exclude) < crossRegionAfter {
		flags |= unitCrossRegion
	}
	return flags | unitNotSeen, true
}

// available reports whether n accepts calls, apart from pauses of single members.
func (n *node) available(now time.Duration) bool {
	return n.server.State == peers.Ready && !n.suspect && !n.probation && now >= n.pausedUntil && now >= n.unreachableUntil
}

// takeUnit records a call that is sent to n: it uses up a unit that was counted as free there, if any.
func (n *node) takeUnit(bucket int) {
	if n.freeUnits[bucket] > 0 {
		n.freeUnits[bucket]--
	}
}

// returnUnit records a call that has ended at n and leaves a unit free there.
func (n *node) returnUnit(bucket int, now time.Duration) {
	if now-n.unitFreedAt[bucket] >= maxFreeUnitAge {
		n.freeUnits[bucket] = 0
	}
	// The counter saturates at 255.
	n.freeUnits[bucket], n.unitFreedAt[bucket] = min(n.freeUnits[bucket], 254)+1, now
}
