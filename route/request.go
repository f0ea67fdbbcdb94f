package route

import (
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Request describes a call for which a server is chosen.
type Request struct {
	Service ident.ServiceID
	Member  ident.MemberID
	Class   agree.Class   // as declared by the route
	Route   ident.RouteID // if set, the class is corrected by the observed latency of the route
	Exclude []ident.Addr  // servers already tried for this call
	Hedge   bool          // a second attempt beside a slow one, which does not use the paid link
	// Cap is the member's cap in the service; zero if unknown. With a cap below twice the
	// number of servers, only the servers ranked first for the member have base units.
	Cap    ident.Units
	Capped bool // a server that was tried had no unit of the cap left
}

// excludes reports whether addr has been tried.
func (r *Request) excludes(addr ident.Addr) bool {
	for _, a := range r.Exclude {
		if a == addr {
			return true
		}
	}
	return false
}
