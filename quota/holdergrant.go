package quota

import "github.com/marjoramcroft/marjoramcroft/ident"

// setLimits applies the floating units in g, the answer to msg, which was sent at the given
// time. It reports whether an unused unit was withdrawn. The caller holds h.mu.
func (h *Holder) setLimits(msg Sync, g Grant, at Stamp) (lowered bool) {
	uses := make(map[ident.MemberID]Use, len(msg.Uses))
	if g.Listed {
		for i, u := range msg.Uses {
			u.Limit = g.Units[i]
			uses[u.Member] = u
			h.ensureAdmission(u.Member)
		}
	}
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		s.grantedAt, s.ttl = at, min(g.TTL, GrantTTL)
		for member, a := range s.admissions {
			lowered = h.setLimit(a, uses[member], member) || lowered
			h.serveQueue(s, a, member)
		}
		s.mu.Unlock()
	}
	return lowered
}

// ensureAdmission creates the admission of member if there is none. It exists at least until
// the next Sync is built, which needs h.mu too.
func (h *Holder) ensureAdmission(member ident.MemberID) {
	s := &h.shards[shardOf(member)]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission(member)
}

// setLimit sets the floating units of a to those in u and reports whether an unused one was
// withdrawn.
func (h *Holder) setLimit(a *admission, u Use, member ident.MemberID) bool {
	before := a.limit
	a.limit, a.committed, a.reportedUnmet = u.Limit, max(a.committed, u.Limit), max(0, u.Want-u.Limit)
	if u.Limit > before {
		a.lastRaise = h.d.Clock.Mono()
	}
	return max(u.Limit, a.aboveBase(h.usableBase(a, member, 0))) < before
}

// recentlyRaised reports whether a has floating units that were granted so recently that the
// calls that asked for them may not have returned yet.
func (h *Holder) recentlyRaised(a *admission) bool {
	return a.limit > 0 && h.d.Clock.Mono()-a.lastRaise < maxIdleChecks*FastSyncInterval
}
