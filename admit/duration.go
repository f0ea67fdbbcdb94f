package admit

import "time"

// duration is the moving average of the service time of a kind of work.
type duration struct {
	average
	last time.Duration
}

const durationWeight = 0.1

func (d *duration) add(now, v time.Duration) {
	d.last = now
	d.average.add(v, durationWeight)
}

// expect returns the mean. It halves for each stale period without samples: an estimate that
// refuses every call would otherwise never be corrected.
func (d *duration) expect(now, stale time.Duration) float64 {
	m := d.mean
	for idle := now - d.last; idle > stale && m > 1e-6; idle -= stale {
		m /= 2
	}
	return m
}
