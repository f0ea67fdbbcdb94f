package quota

import "github.com/marjoramcroft/marjoramcroft/ident"

// view is the list in effect at a holder. Each new list has a new generation.
type view struct {
	gen  uint64
	list List
}

// share returns the base share of member at self: the smaller of its shares in the current
// list and, while that is not cleared, in the previous list.
func (v *view) share(a *admission, member ident.MemberID, self ident.Addr, limit ident.Units) ident.Units {
	if a.gen != v.gen {
		a.gen = v.gen
		a.rank = rendezvousRank(string(member), v.list.Holders, self)
		a.rankPrev = rendezvousRank(string(member), v.list.Prev, self)
	}
	s := BaseShare(baseUnits(limit), len(v.list.Holders), a.rank)
	if len(v.list.Prev) > 0 {
		s = min(s, BaseShare(baseUnits(limit), len(v.list.Prev), a.rankPrev))
	}
	return s
}
