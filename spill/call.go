package spill

import "time"

// maxHomeRefusals is the number of servers of the data centre that refuse a call before it may leave without belonging to
// the share that may. A data centre may have more servers than a call tries.
const maxHomeRefusals = 2

// Call follows the attempts of one call. A nil Call has no costs and observes nothing. Its methods are not safe for
// concurrent use.
type Call struct {
	c       *Controller
	id      Class
	plan    Plan
	planned bool            // the first attempt that may leave has been prepared
	noHome  bool            // the data centre has no server of the service
	refused [distances]int  // attempts that were refused or not answered in time
	served  [distances]bool // an attempt was answered
}

// Begin returns a Call whose answer has the expected size bytes; zero: not known.
func (c *Controller) Begin(id Class, bytes float64, now time.Time) *Call {
	return &Call{c: c, id: id, plan: c.Plan(id, bytes, now)}
}

// Change returns a change of the mode of the call's class that is to be reported.
func (v *Call) Change() Change {
	if v == nil {
		return NoChange
	}
	return v.plan.Change
}

// Share returns the share of the calls of its class that may leave.
func (v *Call) Share() float64 {
	if v == nil {
		return 0
	}
	return v.plan.Share
}

// Costs returns the costs of the distances for the next attempt that may wait in a queue; nil: the fixed ones. home states
// whether the data centre has a server among the candidates of the first such attempt.
func (v *Call) Costs(home bool) *[distances]float64 {
	if v == nil {
		return nil
	}
	if !v.planned {
		v.planned, v.noHome = true, !home
	}
	if v.noHome {
		return &v.plan.Away
	}
	if v.refused[0] >= maxHomeRefusals {
		return &v.plan.Refused
	}
	return &v.plan.Costs
}

// LeaveUnreachable reports whether the call may go to any distance after all because no server of the data centre can be
// reached, none having refused it. It does so once.
func (v *Call) LeaveUnreachable() bool {
	if v == nil || v.noHome || v.refused[0] > 0 {
		return false
	}
	v.noHome = true
	return true
}

// Started records that an attempt at distance d starts. If it leaves, no server of the data centre is expected to take the
// call in time, unless the call belongs to the share that may leave.
func (v *Call) Started(d int) {
	if v != nil && d > 0 && !v.noHome && !v.plan.MayLeave {
		v.refused[0]++
	}
}

// NoSlot records that a server of the data centre had no free slot for an attempt without a wait.
func (v *Call) NoSlot() {
	if v != nil {
		v.c.ObserveSlot(v.id, false)
	}
}

// Refused records that an attempt at distance d was refused, or not answered before the deadline.
func (v *Call) Refused(d int) {
	if v != nil {
		v.refused[d]++
	}
}

// Answered records an answer from distance d.
func (v *Call) Answered(d int, o Observation, now time.Time) {
	if v != nil {
		v.served[d] = true
		v.c.Observe(v.id, d, o, now)
	}
}

// End records the distances at which the call was refused or not answered.
func (v *Call) End(now time.Time) {
	if v == nil {
		return
	}
	for d, n := range v.refused {
		if n > 0 && !v.served[d] {
			v.c.Observe(v.id, d, Observation{Outcome: Refused}, now)
		}
	}
}
