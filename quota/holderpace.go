package quota

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// nextWait returns the time until the next exchange or check.
func (h *Holder) nextWait(pace *pacer) time.Duration {
	now := time.Now()
	switch {
	case h.failing():
		h.mu.Lock()
		defer h.mu.Unlock()
		// Full jitter up to 5 s spreads the retries of holders that lost the same keeper.
		top := min(5*time.Second, 200*time.Millisecond<<min(h.failures, 5))
		return time.Duration(h.d.Rand() * float64(top))
	case h.exchangeRequested.Load():
		return pace.untilNext(now)
	}
	left := max(0, h.syncInterval()-now.Sub(pace.last))
	if h.hasFloating() {
		left = min(left, FastSyncInterval)
	}
	return left
}

// exchangeDue reports whether an exchange is to be sent now. While demand is met, floating
// units that were idle for maxIdleChecks checks are returned early: with SyncInterval alone,
// demand that moved to other holders got them up to a second later. Units that the keeper has
// taken back are returned as soon as their calls have ended.
func (h *Holder) exchangeDue(pace *pacer) bool {
	return h.failing() || h.exchangeRequested.Load() || time.Since(pace.last) >= h.syncInterval() || h.hasIdleUnits() || h.keeperOvercounts()
}

// syncInterval returns the interval between exchanges while demand is met.
func (h *Holder) syncInterval() time.Duration {
	if h.idle() {
		return IdleSyncInterval
	}
	return SyncInterval
}

// idle reports whether the holder has nothing to report and the list has not changed recently.
// While the list changes, slow exchanges would delay the change.
func (h *Holder) idle() bool {
	h.mu.Lock()
	steady := len(h.pins) == 0 && h.ackedVersion == h.view.Load().list.Version && h.uncleanAge() == 0 &&
		h.d.Clock.Since(h.listChanged) >= steadyListTime
	h.mu.Unlock()
	if !steady {
		return false
	}
	admissions := 0
	h.forEachAdmission(func(ident.MemberID, *admission) { admissions++ })
	return admissions == 0
}

// hasFloating reports whether the holder has floating units that it may have to return.
func (h *Holder) hasFloating() bool {
	found := false
	h.forEachAdmission(func(_ ident.MemberID, a *admission) { found = found || max(a.limit, a.committed) > 0 })
	return found
}

// keeperOvercounts reports whether the keeper counts more units as in use at this holder than
// there are.
func (h *Holder) keeperOvercounts() bool {
	found := false
	h.forEachAdmission(func(member ident.MemberID, a *admission) {
		found = found || a.committed > max(a.limit, a.aboveBase(h.usableBase(a, member, 0)))
	})
	return found
}

// hasIdleUnits counts a check and reports whether a member has floating units that were unused
// in the last maxIdleChecks checks.
func (h *Holder) hasIdleUnits() bool {
	found := false
	h.forEachAdmission(func(member ident.MemberID, a *admission) {
		if a.unusedChecks++; a.aboveBase(h.usableBase(a, member, 0)) > 0 {
			a.unusedChecks = 0
		}
		found = found || a.limit > 0 && a.unusedChecks >= maxIdleChecks
	})
	return found
}
