package admit

import (
	"math"
	"time"
)

// reserveTimeConstant is the time constant of the average of the slots that short work needs.
const reserveTimeConstant = 2 * time.Second

// reserve estimates how many slots short work needs.
type reserve struct {
	mean float64
	last time.Duration
}

// observe records that n short calls run or wait; it is called when a short call arrives.
func (r *reserve) observe(now time.Duration, n int) {
	w := 1 - math.Exp(-float64(now-r.last)/float64(reserveTimeConstant))
	r.mean += w * (float64(n) - r.mean)
	r.last = now
}

// slots returns the mean need plus one standard deviation of a Poisson distribution with that mean.
func (r *reserve) slots(now time.Duration) float64 {
	mean := r.mean * math.Exp(-float64(max(0, now-r.last-reserveTimeConstant))/float64(reserveTimeConstant))
	return mean + math.Sqrt(mean)
}
