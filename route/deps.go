package route

import (
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// Deps are the dependencies of a Chooser.
type Deps struct {
	Config Config
	Place  ident.Place // of this daemon
	// Suspect reports whether a server is skipped while another one is ready, as
	// peers.Registry.IsSuspect does. If nil, no server is.
	Suspect func(peers.Server) bool
	Random  func() uint64 // safe for concurrent use
	Stats   *stats.Set
	Log     *event.Log
}
