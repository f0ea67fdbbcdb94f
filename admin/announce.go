package admin

import (
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Announcement is the body of an announce request, with which a backend server reports its state to the
// daemon beside it.
type Announcement struct {
	Service ident.ServiceID
	Backend ident.Addr  // HOST:PORT at which the backend server serves HTTP
	Slots   ident.Units // max concurrent calls
	Conns   int         // max connections that it accepts
	State   string      // Starting, Ready, Draining or Gone
	// Incarnation identifies the process of the backend server; zero if not given. It lets the daemon
	// detect a crash, that is a process that ended without a drain, even if the next one starts at once.
	Incarnation ident.Incarnation
}

// Check returns an error that names the first invalid field.
func (a Announcement) Check() error {
	switch {
	case a.Service == "":
		return fmt.Errorf("field Service is empty")
	case a.Backend == "":
		return fmt.Errorf("field Backend is empty")
	case a.Slots < 1:
		return fmt.Errorf("field Slots is %d, must be at least 1", a.Slots)
	case a.Conns < 1:
		return fmt.Errorf("field Conns is %d, must be at least 1", a.Conns)
	case a.Incarnation < 0:
		return fmt.Errorf("field Incarnation is %d, must be at least 1, or absent", a.Incarnation)
	}
	switch a.State {
	case "Starting", "Ready", "Draining", "Gone":
		return nil
	}
	return fmt.Errorf("field State is %q, must be Starting, Ready, Draining or Gone", a.State)
}
