package rate

import "time"

// Limit is the rate limit of an account over all daemons.
type Limit struct {
	Rate  float64 // calls per second; zero: not limited
	Burst float64 // calls beyond Rate that may come at once
}

// Bounds limit how far the executed calls of an account may exceed its Limit: in any window, at most
// (Rate x Window + Burst) x (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Max returns the highest number of calls that may be executed in any window.
func (b Bounds) Max(l Limit) float64 { return b.base(l) + b.headroom(l) }

func (b Bounds) base(l Limit) float64 { return l.Rate*b.Window.Seconds() + l.Burst }

// headroom returns what Max allows beyond a token bucket of the Limit. It is divided into shares, whose sum is 1.
func (b Bounds) headroom(l Limit) float64 { return b.Overage*b.base(l) + b.Slack }

const (
	// allowanceShare of the headroom may be spent by holders that reach no keeper.
	allowanceShare = 0.5
	// burstShare is added to the burst, so that accounts without one get tokens at all.
	burstShare = 0.25
	// lateShare is what tokens that are returned late may add in a window.
	lateShare = 0.25
)

// capacity returns the highest number of tokens that may exist at one time.
func (b Bounds) capacity(l Limit) float64 { return l.Burst + burstShare*b.headroom(l) }

// settleTime returns how long a spent token is not reported. It counts against the capacity until then, so that with a
// small burst a longer time would keep an account below its rate.
func (b Bounds) settleTime(l Limit) time.Duration {
	return min(maxSettleTime, time.Duration(b.capacity(l)/(4*l.Rate)*float64(time.Second)))
}

// allowance returns the tokens that one of several daemons may spend in a window without a keeper.
func (b Bounds) allowance(l Limit, daemons int) int {
	return int(allowanceShare * b.headroom(l) / float64(max(1, daemons)))
}
