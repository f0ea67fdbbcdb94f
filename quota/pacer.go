package quota

import "time"

// pacer limits a holder with unmet demand to one exchange per SlowSyncInterval. After a pause
// it allows a burst at FastSyncInterval, whose first few exchanges may follow each other at
// minSyncGap: the first calls of a surge start an exchange before the other calls have
// arrived. If the keeper is slow to answer, minSyncGap does not apply: the waiting calls would
// have moved on to other holders before the answer, and its units would be idle here.
type pacer struct {
	slowKeeper    bool // the last exchange took longer than a call waits
	last          time.Time
	burstUsed     time.Duration // as of last: time until the whole short burst is available again
	longBurstUsed time.Duration // the same for the long burst
}

// record records an exchange that starts at now.
func (p *pacer) record(now time.Time) {
	since := now.Sub(p.last)
	p.burstUsed = max(0, p.burstUsed-since) + FastSyncInterval
	p.longBurstUsed = max(0, p.longBurstUsed-since) + SlowSyncInterval
	p.last = now
}

// untilNext returns the time from now until the next exchange for unmet demand is allowed.
func (p *pacer) untilNext(now time.Time) time.Duration {
	if p.last.IsZero() {
		return 0
	}
	gap := max(minSyncGap, p.burstUsed-(maxShortBurst-1)*FastSyncInterval)
	if p.slowKeeper {
		gap = FastSyncInterval
	}
	return max(0, max(gap, p.longBurstUsed-(maxLongBurst-1)*SlowSyncInterval)-now.Sub(p.last))
}
