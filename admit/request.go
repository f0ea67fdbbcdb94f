package admit

import (
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Request describes a call that asks for a slot.
type Request struct {
	Member ident.MemberID
	Class  agree.Class
	Route  ident.RouteID
}
