package emul

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	FaultCrash FaultKind = "Crash" // the backend server On crashes and starts again
	FaultSlow  FaultKind = "Slow"  // the backend server On is slow for the duration For
	FaultDrain FaultKind = "Drain" // the backend server On drains, for at most the duration For, and closes
	FaultCut   FaultKind = "Cut"   // all connections break, so answers are lost
	FaultDelay FaultKind = "Delay" // nothing is sent for the duration For, so answers are delayed
)

// slowdownFactor multiplies the service times under FaultSlow.
const slowdownFactor = 10

// Fault is one fault of a plan.
type Fault struct {
	At   time.Duration // from the start of the plan
	Kind FaultKind
	On   int // index of the backend server
	For  time.Duration
}

// Faults applies faults to n and backends at their times. It returns when all have been applied
// or ctx has ended.
func Faults(ctx context.Context, faults []Fault, n *Net, backends []*Backend) {
	start := time.Now()
	done := make(chan struct{}, len(faults))
	for _, f := range faults {
		go func() {
			defer func() { done <- struct{}{} }()
			if delay.Until(ctx, start.Add(f.At)) {
				f.apply(ctx, n, backends)
			}
		}()
	}
	for range faults {
		<-done
	}
}

func (f Fault) apply(ctx context.Context, n *Net, backends []*Backend) {
	b := backends[f.On%len(backends)]
	switch f.Kind {
	case FaultCrash:
		b.Crash()
	case FaultSlow:
		b.Slow(slowdownFactor, f.For)
	case FaultDrain:
		ctx, cancel := context.WithTimeout(ctx, f.For)
		defer cancel()
		// A drain that times out leaves the backend server in state Draining.
		_ = b.Drain(ctx)
	case FaultCut:
		n.CloseConnections()
	case FaultDelay:
		n.Delay(f.For)
	}
}
