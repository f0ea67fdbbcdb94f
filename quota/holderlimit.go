package quota

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

func (h *Holder) refuse(reason refuse.Reason, text string) error {
	r := refuse.NotRun(reason, text)
	h.d.Stats.Refused(r)
	return r
}

// unavailableReason returns why no unit can be used at all for a call with the given time
// left; empty if one can.
func (h *Holder) unavailableReason(left time.Duration) string {
	switch {
	case left <= 0:
		return "deadline has passed"
	case h.leaving.Load():
		return "holder is leaving"
	case h.untilShortCallsEnd() > 0:
		return "calls of the previous process may still run"
	case h.confirmedAt.Load() == nil:
		return "no exchange with the keeper yet"
	case !h.baseLeaseCovers(left):
		return "base lease ends before the deadline"
	case left > maxCallTime(h.List().Longest):
		return "deadline is beyond the longest timeout of the service"
	}
	return ""
}

// untilShortCallsEnd returns the time until short calls of an earlier process that did not
// leave cleanly have ended.
func (h *Holder) untilShortCallsEnd() time.Duration {
	return h.untilCallsEnd(MaxShortTimeout + StopGrace)
}

// untilLongCallsEnd returns the time until long calls of an earlier process that did not leave
// cleanly have ended.
func (h *Holder) untilLongCallsEnd() time.Duration {
	return h.untilCallsEnd(maxCallTime(h.List().Longest) + StopGrace)
}

func (h *Holder) untilCallsEnd(span time.Duration) time.Duration {
	if h.clean.Load() {
		return 0
	}
	return max(0, span-(h.d.Clock.Mono()-h.started.mono))
}

// uncleanAge returns the time since the start of this process while calls of an earlier one
// may still run; zero after a clean start.
func (h *Holder) uncleanAge() time.Duration {
	if h.untilCallsEnd(agree.MaxTimeout+StopGrace) == 0 {
		return 0
	}
	return max(1, h.d.Clock.Mono()-h.started.mono)
}

// baseLeaseCovers reports whether a call with the given time left ends before the base lease.
func (h *Holder) baseLeaseCovers(left time.Duration) bool {
	s := h.confirmedAt.Load()
	return s != nil && h.d.Clock.Since(*s)+left < BaseLeaseTTL
}

// baseShare returns the base share of member for a call with the given time left.
func (h *Holder) baseShare(a *admission, member ident.MemberID, left time.Duration) ident.Units {
	if !h.baseLeaseCovers(left) {
		return 0
	}
	return h.view.Load().share(a, member, h.d.Addr, h.d.Cap(member))
}

// usableBase returns the base share without the part that long calls of an earlier process may
// hold.
func (h *Holder) usableBase(a *admission, member ident.MemberID, left time.Duration) ident.Units {
	base := h.baseShare(a, member, left)
	if h.untilLongCallsEnd() > 0 {
		base -= maxLongCalls(base)
	}
	return base
}

// maxLongCalls returns how many units of a base share long calls may hold.
func maxLongCalls(base ident.Units) ident.Units { return (base + 1) / 2 }

// usableFloating returns the floating units of a that a call with the given time left may use.
func (h *Holder) usableFloating(s *shard, a *admission, member ident.MemberID, left time.Duration) ident.Units {
	if a.limit == 0 {
		return 0
	}
	elapsed := h.d.Clock.Since(s.grantedAt)
	if elapsed >= s.ttl || elapsed+left > GrantTTL+MaxShortTimeout {
		return 0
	}
	// A lowered cap takes effect before the keeper lowers the grant.
	return min(a.limit, floatingUnits(h.d.Cap(member)))
}

// admits reports whether a short call with the given time left can be admitted. The caller
// holds the lock of the shard.
func (h *Holder) admits(s *shard, a *admission, member ident.MemberID, left time.Duration) bool {
	if h.leaving.Load() {
		return false
	}
	n := a.short + a.long
	base := h.usableBase(a, member, left)
	return n < base || n < base+h.usableFloating(s, a, member, left)
}

// countShort counts an admitted short call.
func (h *Holder) countShort(a *admission, member ident.MemberID) {
	a.short++
	if over := a.aboveBase(h.usableBase(a, member, 0)); over > 0 {
		a.peak, a.unusedChecks = max(a.peak, over), 0
	}
}
