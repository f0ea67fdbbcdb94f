package peers

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Contact holds the contact addresses of a data centre as kept in the store.
type Contact struct {
	Addrs    []ident.Addr
	Revision int64 // zero if the key is absent
}

// Deps are the dependencies of an Agent.
type Deps struct {
	Addr        ident.Addr // own wire address
	Incarnation ident.Incarnation
	Place       ident.Place
	Registry    *Registry
	// Contacts are the addresses from the settings, by data centre. They take precedence
	// over those in the store.
	Contacts map[ident.DataCentre][]ident.Addr
	// ReadContacts returns the contacts of all data centres with one call to the store.
	ReadContacts func(ctx context.Context) (map[ident.DataCentre]Contact, error)
	// WriteContacts writes the contacts of dc if the key still has the revision of c.
	WriteContacts func(ctx context.Context, dc ident.DataCentre, c Contact) error
	// Dial connects to a daemon; messages that arrive on the connection go to the
	// daemon's common handler.
	Dial func(ctx context.Context, addr ident.Addr) (*wire.Conn, error)
	// Upstream returns the connection to the upstream, nil if there is none:
	// fanout.Node.Upstream.
	Upstream func() *wire.Conn
	// ReportVersion records the Version that a daemon holds and returns this daemon's:
	// fanout.Node.ReportVersion.
	ReportVersion func(c *wire.Conn, addr ident.Addr, v ident.Version) ident.Version
	// ForwardersChanged is called after the forwarders of the local data centre have changed:
	// fanout.Node.RecheckUpstream. It may be nil.
	ForwardersChanged func()
	// Within returns a random duration below limit: fanout.Jitter.Duration.
	Within func(limit time.Duration) time.Duration
	Stats  *stats.Set
	Log    *event.Log
}

// Intervals and timeouts of the protocol.
const (
	heartbeatInterval = 2 * time.Second
	// suspectAfter is three missed heartbeats.
	suspectAfter = 3 * heartbeatInterval
	// goneAfter is long enough for a restart or a short partition.
	goneAfter = 30 * time.Second
	// digestInterval and backupDigestInterval are the intervals at which the first and the second
	// forwarder of a data centre send digests to another data centre. Traffic between
	// regions is billed by volume, and urgent changes are pushed.
	digestInterval       = 2 * heartbeatInterval
	backupDigestInterval = 5 * heartbeatInterval
	// lostAfter is when a data centre counts as lost: three missed digests.
	lostAfter = 3 * digestInterval
	// massLossGrace is how long servers are kept when a whole data centre or most of one is lost
	// at once: a partition is more likely than the failure of all of them.
	massLossGrace = 10 * time.Minute
	// unlistedGrace is how long a server is kept that the forwarder does not list. It covers
	// the time in which the registry of a restarted forwarder is incomplete.
	unlistedGrace = time.Minute
	// pushTimeout limits the announcement of a change before another forwarder is tried.
	// It has to fit in the 3 s within which all daemons must know of a draining server.
	pushTimeout = 500 * time.Millisecond
	callTimeout = time.Second
	// coalesceDelay batches changes that occur together, as in a restart of many daemons, into
	// one message per link. Four links in a row take 0.2 s of the 3 s for a draining server.
	coalesceDelay = 50 * time.Millisecond
)
