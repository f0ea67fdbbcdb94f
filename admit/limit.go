package admit

import (
	"math"
	"time"
)

// limit is the adaptive number of calls that may run, between one and the declared slots.
type limit struct {
	cfg            *Config
	slots          int
	value          float64
	slowStartLimit float64 // below it the limit grows by one per call, above by 1/limit (as in TCP slow start)
	loweredAt      time.Duration
	baseline       float64 // slow moving average of the service time of short work, seconds
	recent         float64 // fast moving average of it, seconds
	samples        int
}

// resetCold starts with a share of the slots, for a new backend server process.
func (l *limit) resetCold(slots int) {
	l.slots = slots
	l.value = max(1, math.Ceil(l.cfg.ColdShare*float64(slots)))
	l.slowStartLimit = float64(slots)
	l.baseline, l.recent, l.samples = 0, 0, 0
}

// resize adapts the limit to a change of the declared slots.
func (l *limit) resize(slots int) {
	if slots == l.slots {
		return // a repeated announcement must not reset the adapted limit
	}
	if l.value >= float64(l.slots) {
		l.value = float64(slots)
	}
	l.slots = slots
	l.value = max(1, min(l.value, float64(slots)))
	l.slowStartLimit = float64(slots)
}

func (l *limit) get() int {
	return max(1, min(int(l.value), l.slots))
}

// raise increases the limit after a successful call.
func (l *limit) raise() {
	if l.value < l.slowStartLimit {
		l.value++
	} else {
		l.value += 1 / l.value
	}
	l.value = min(l.value, float64(l.slots))
}

// lower reduces the limit, at most once within the time that the calls in flight need to end,
// since these were admitted under the old limit.
func (l *limit) lower(now time.Duration, factor, floor float64) bool {
	if now-l.loweredAt < time.Duration(2*l.recent*float64(time.Second)) {
		return false
	}
	v := max(1, floor*float64(l.slots), l.value*factor)
	if v >= l.value {
		return false
	}
	l.value, l.slowStartLimit, l.loweredAt = v, v, now
	return true
}

// baselineSamples is the number of calls after which the baseline is used. The average of fewer calls
// is often too low by chance, which would lower the limit without cause.
const baselineSamples = 50

// observe records the service time of a short call and reports whether the limit was lowered.
func (l *limit) observe(now, d time.Duration, full bool) bool {
	s := d.Seconds()
	l.samples++
	l.recent += max(0.2, 1/float64(l.samples)) * (s - l.recent)
	if l.samples <= baselineSamples {
		l.baseline += (s - l.baseline) / float64(l.samples)
		l.raise()
		return false
	}
	if l.recent > l.cfg.ClimbFactor*l.baseline {
		l.baseline += 0.001 * (s - l.baseline) // a lasting change becomes the new baseline
		return full && l.lower(now, 0.9, l.cfg.ClimbFloor)
	}
	l.baseline += 0.01 * (s - l.baseline)
	l.raise()
	return false
}
