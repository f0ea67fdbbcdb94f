package quota

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// admission tracks the calls and floating units of one member at a holder. It exists while the
// member has calls, units or unmet demand.
type admission struct {
	short        ident.Units  // short calls running
	long         ident.Units  // long calls running on the base share; pinned calls are not counted
	limit        ident.Units  // floating units granted, valid as long as the shard's grant
	peak         ident.Units  // highest floating use since the last Sync
	unmet        unmetCounter // calls refused or made to wait
	unusedChecks int32        // consecutive checks that found no floating unit in use
	// reportedUnmet is the unmet demand that the keeper knows. The keeper sends a Free when it
	// has units for it, so further calls over the limit start an exchange only if they are
	// many more.
	reportedUnmet ident.Units
	// recentUnmet is the highest unmet demand of the reports within unmetMemory.
	recentUnmet ident.Units
	queue       []*waiter
	// committed is what the keeper counts as in use by this holder, as of the last exchange.
	committed ident.Units

	// Monotonic readings; zero means never.
	lastEnd       time.Duration // when a call last ended
	lastRaise     time.Duration // when a grant last raised the limit
	recentUnmetAt time.Duration // when recentUnmet was reported

	// The member's rank in the list of generation gen and in the list before it.
	gen      uint64
	rank     int
	rankPrev int
}

// takeUnmet returns the unmet demand to be reported at now, with used calls above the base
// share, and resets the counter. Demand comes in waves, so while the holder is busy the highest
// demand within unmetMemory is reported.
func (a *admission) takeUnmet(now time.Duration, used ident.Units) ident.Units {
	n := max(a.unmet.takePeak(now), ident.Units(len(a.queue)))
	if n >= a.recentUnmet || now-a.recentUnmetAt > unmetMemory {
		a.recentUnmet, a.recentUnmetAt = n, now
	}
	if used > 0 || a.lastEnd > 0 && now-a.lastEnd < unmetIdleLimit {
		return a.recentUnmet
	}
	return n
}

// waiter is a short call that waits for a unit.
type waiter struct {
	deadline time.Time
	ready    chan struct{} // closed when the unit is granted
	granted  bool
}

// idle reports whether the admission can be deleted.
func (a *admission) idle() bool {
	return a.short == 0 && a.long == 0 && a.limit == 0 && a.peak == 0 && a.unmet.peak() == 0 && len(a.queue) == 0
}

// aboveBase returns the number of calls above the base share.
func (a *admission) aboveBase(base ident.Units) ident.Units {
	return max(0, a.short+a.long-base)
}
