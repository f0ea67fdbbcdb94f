package peers

import (
	"strings"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Server is a backend server as announced by its daemon, or the daemon itself (see
// isDaemon).
type Server struct {
	Service     ident.ServiceID
	Addr        ident.Addr // HTTP address of the daemon beside the backend server
	Control     ident.Addr // wire address of that daemon
	Backend     ident.Addr // HTTP address of the backend server, used by its own daemon only
	Place       ident.Place
	Slots       ident.Units
	Conns       int
	State       State
	Incarnation ident.Incarnation // of the daemon
	Seq         uint64            // orders announcements within an incarnation
}

// newer reports whether s replaces old. With equal sequence numbers Gone replaces other
// states, since the forwarders of its data centre declare a server gone on its behalf.
func (s Server) newer(old Server) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	if s.Seq != old.Seq {
		return s.Seq > old.Seq
	}
	return s.State == Gone && old.State != Gone
}

// daemonServicePrefix starts the names of the internal services whose servers are the daemons of a
// data centre. Service ids of an agreement start with a letter or digit.
const daemonServicePrefix = "@"

// daemonService returns the internal service that lists the daemons of dc.
func daemonService(dc ident.DataCentre) ident.ServiceID {
	return ident.ServiceID(daemonServicePrefix + string(dc))
}

func (s Server) isDaemon() bool {
	return strings.HasPrefix(string(s.Service), daemonServicePrefix)
}

// scope returns the part of the registry in which forwarders compare s: its data centre.
// Daemons have a separate scope, since only their own data centre needs them.
func (s Server) scope() scope {
	if s.isDaemon() {
		return scope(s.Service)
	}
	return scope(s.Place.DataCentre)
}

// scope identifies a part of the registry.
type scope string

// scopeAll is the combination of all scopes.
const scopeAll scope = ""
