package store

import (
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// Deps are the dependencies of a Client.
type Deps struct {
	Driver Driver
	Config Config
	Stats  *stats.Set
	Log    *event.Log
	Rand   func() float64 // returns a value in [0, 1); safe for concurrent use
}
