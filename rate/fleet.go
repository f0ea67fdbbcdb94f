package rate

import "time"

// fleetSteps is the number of steps in which fleetMemory passes.
const fleetSteps = 12

// fleet remembers the highest number of daemons within fleetMemory.
type fleet struct {
	peaks [fleetSteps + 1]int
	step  int64
}

// record records that n daemons are known at now on the monotonic clock.
func (f *fleet) record(n int, now time.Duration) {
	s := int64(now / (fleetMemory / fleetSteps))
	if s-f.step > int64(len(f.peaks)) {
		f.step = s - int64(len(f.peaks))
	}
	for f.step < s {
		f.step++
		f.peaks[f.step%int64(len(f.peaks))] = 0
	}
	p := &f.peaks[f.step%int64(len(f.peaks))]
	*p = max(*p, n)
}

// size returns the highest number recorded.
func (f *fleet) size() int {
	out := 1
	for _, n := range f.peaks {
		out = max(out, n)
	}
	return out
}
