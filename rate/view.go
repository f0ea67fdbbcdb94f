package rate

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// View is what a daemon knows of the others.
type View struct {
	Self ident.Addr
	Able []ident.Addr // daemons that do not stop, including this one
	// StateAge is the age of the state of the store that the daemon has, from the store or through other daemons.
	StateAge time.Duration
}

const (
	// fleetMemory is how long the highest number of daemons counts. A daemon that is cut off from the store vanishes
	// from it, but still counts, so that both sides of the cut together grant no more than the rate. An announced stop
	// is not remembered.
	fleetMemory = 60 * time.Second
	// maxStateAge is the age of the state from which a daemon neither keeps nor gets tokens. It is below fleetMemory, and
	// the others miss the daemon at the earliest when its state becomes old.
	maxStateAge = 50 * time.Second
)

// stale reports whether other daemons may no longer count this one.
func (v *View) stale() bool { return v.StateAge > maxStateAge }
