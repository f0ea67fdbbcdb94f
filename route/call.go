package route

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// call is the state of a running call.
type call struct {
	class  int
	member uint64 // hash of the member
	route  ident.RouteID
	start  time.Duration
	probe  bool // tests a server on probation
}
