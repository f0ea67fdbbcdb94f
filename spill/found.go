package spill

import (
	"math"
	"time"
)

// Outcome is what a call found at a distance.
type Outcome int

// Outcomes.
const (
	InTime  Outcome = iota // answered within the goal
	Late                   // answered after the goal
	Refused                // refused or not answered
	outcomes
)

const (
	// lateValue is the value of a late answer for its caller. One in time has the value 1, none has 0.
	lateValue = 0.3
	// halfLife is the age at which an observation counts half. Entries have some calls a second for a service, and
	// bursts last some seconds.
	halfLife = 2 * time.Second
	// priorCalls is the number of answers in time that are assumed beside the observations. Without recent
	// observations another data centre is worth a try.
	priorCalls = 2
)

// found holds what recent calls found at one distance.
type found struct {
	counts [outcomes]float64 // as of at
	good   float64           // value of these calls, as of at
	room   float64           // moving average of the free slots of a server as a share of its slots
	at     time.Time         // zero: nothing observed
}

const (
	// averageWeight is the weight of an observation in the moving averages: about the last 10 count.
	averageWeight = 0.1
	// unknownRoom is assumed for servers that have not reported.
	unknownRoom = 0.5
	// enoughRoom is the room from which a further call delays no other.
	enoughRoom = 0.08
	// enoughLead is the difference in room to home from which a further call delays others less than at home.
	enoughLead = 1.2
	// minLead is the difference below which the other side counts as as full as home.
	minLead = 0.2
)

func newFound() found { return found{room: unknownRoom} }

func (f *found) add(o *Observation, now time.Time) {
	f.room = f.roomAt(now)
	if o.Slots > 0 {
		f.room += averageWeight * (float64(o.Free)/float64(o.Slots) - f.room)
	} else if o.Outcome == Refused {
		f.room -= averageWeight * f.room
	}
	keep := f.remaining(now)
	for i := range f.counts {
		f.counts[i] *= keep
	}
	f.counts[o.Outcome]++
	f.good = keep*f.good + 1 - o.loss()
	f.at = now
}

// roomAt returns the expected free slots of a server as a share of its slots.
func (f *found) roomAt(now time.Time) float64 {
	return unknownRoom + (f.room-unknownRoom)*f.remaining(now)
}

// remaining returns the share of the counts that age leaves at now.
func (f *found) remaining(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return math.Exp2(-float64(max(0, now.Sub(f.at))) / float64(halfLife))
}

// value returns the expected value of a call.
func (f *found) value(now time.Time) float64 {
	keep := f.remaining(now)
	all := f.counts[InTime] + f.counts[Late] + f.counts[Refused]
	return (priorCalls + keep*f.good) / (priorCalls + keep*all)
}

// lateShare returns the share of late answers among the calls that were not answered in time.
func (f *found) lateShare() float64 {
	// One of each is assumed beside the observations.
	return (1 + f.counts[Late]) / (2 + f.counts[Late] + f.counts[Refused])
}
