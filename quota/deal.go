package quota

import (
	"cmp"
	"slices"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// claim is the demand of one holder and its max-min fair share.
type claim struct {
	addr       ident.Addr
	allocation *allocation
	fairShare  ident.Units
}

// fairShareOf returns the max-min fair share of addr when units are distributed by demand.
func (p *unitPool) fairShareOf(addr ident.Addr, units ident.Units) ident.Units {
	alloc := p.allocs[addr]
	if alloc == nil {
		return 0
	}
	claims, level, remainder := p.fillLevel(units)
	if alloc.want <= level {
		return alloc.want
	}
	own := claim{addr: addr, allocation: alloc}
	for i := range claims {
		if c := &claims[i]; c.allocation.want > level && c.addr != addr && byCommitted(c, &own) < 0 {
			remainder--
		}
	}
	if remainder > 0 {
		return level + 1
	}
	return level
}

// fairShares returns the claims of all holders that want units, with their max-min fair
// shares, in no particular order.
func (p *unitPool) fairShares(units ident.Units) []claim {
	claims, level, remainder := p.fillLevel(units)
	unsatisfied := make([]*claim, 0, len(claims))
	for i := range claims {
		c := &claims[i]
		if c.fairShare = min(c.allocation.want, level); c.allocation.want > level {
			unsatisfied = append(unsatisfied, c)
		}
	}
	if remainder > 0 {
		slices.SortFunc(unsatisfied, byCommitted)
		for _, c := range unsatisfied[:min(int(remainder), len(unsatisfied))] {
			c.fairShare++
		}
	}
	return claims
}

// fillLevel returns the claims of all holders that want units, the highest level up to which
// all of them can be served, and the remainder: fewer units than there are holders that want
// more than the level.
func (p *unitPool) fillLevel(units ident.Units) (claims []claim, level, remainder ident.Units) {
	claims = make([]claim, 0, len(p.allocs))
	top := ident.Units(0)
	for a, alloc := range p.allocs {
		if alloc.want > 0 {
			claims = append(claims, claim{addr: a, allocation: alloc})
			top = max(top, alloc.want)
		}
	}
	units = max(0, units)
	low, high := ident.Units(0), min(top, units)
	for low < high {
		if mid := (low + high + 1) / 2; sumUpTo(claims, mid) <= units {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return claims, low, units - sumUpTo(claims, low)
}

// sumUpTo returns the sum of what all claims want, each limited to level.
func sumUpTo(claims []claim, level ident.Units) ident.Units {
	var n ident.Units
	for _, c := range claims {
		n += min(c.allocation.want, level)
	}
	return n
}

// byCommitted orders the claims for the remainder. Holders with the most committed units come
// first; otherwise the remainder would move between holders with each Sync.
func byCommitted(x, y *claim) int {
	if c := cmp.Compare(y.allocation.committed, x.allocation.committed); c != 0 {
		return c
	}
	return cmp.Compare(x.addr, y.addr)
}
