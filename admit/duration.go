package admit

import "time"

// serviceTime is the moving average of the service time of one route or class.
type serviceTime struct {
	average
	last time.Duration
}

const serviceTimeWeight = 0.1

func (d *serviceTime) add(now, v time.Duration) {
	d.last = now
	d.average.add(v, serviceTimeWeight)
}

// expect returns the mean. It is halved for each stale period without samples: an estimate so high
// that every call is refused would otherwise never be corrected.
func (d *serviceTime) expect(now, stale time.Duration) float64 {
	m := d.mean
	for idle := now - d.last; idle > stale && m > 1e-6; idle -= stale {
		m /= 2
	}
	return m
}
