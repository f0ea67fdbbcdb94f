package route

import "github.com/marjoramcroft/marjoramcroft/peers"

// Pick is a chosen server. Done is called exactly once when the call has ended.
type Pick struct {
	Server peers.Server
	Done   func(Outcome)
}
