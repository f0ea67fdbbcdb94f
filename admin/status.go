package admin

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// CapReachedPrefix is the name prefix of the counters of calls that a daemon refused for its backend
// server with the reason CapReached. The key of the cap follows the prefix.
const CapReachedPrefix = "Cap.Reached."

// Status is the state of a daemon and what it knows of its data centre.
type Status struct {
	Addr    ident.Addr
	Place   ident.Place
	Version ident.Version
	// Since is the time by the daemon's clock at which Version came into force. It is zero for the
	// first Version of the daemon's process, which may have been in force before.
	Since       time.Time `json:",omitzero"`
	Hash        string
	Rows        int
	Ready       bool
	Reason      string   // why the daemon is not ready
	CircuitOpen bool     // circuit breaker of the store client, after repeated failures
	Roles       []string // Forwarder, Root, Keeper:SERVICE
	Server      *ServerStatus
	Daemons     []DaemonStatus
}

// ServerStatus is the state of the backend server beside a daemon.
type ServerStatus struct {
	Service ident.ServiceID
	State   string
	Slots   ident.Units
	InUse   ident.Units
}

// DaemonStatus is a forwarder's view of a daemon in its data centre.
type DaemonStatus struct {
	Addr    ident.Addr
	Version ident.Version
	Silent  time.Duration // time since the last heartbeat
	Lag     string        // why the daemon is behind; empty if it is up to date
}
