package fanout

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Deps are the dependencies of a Node.
type Deps struct {
	Addr        ident.Addr // own address on the wire
	Incarnation ident.Incarnation
	Place       ident.Place
	StoreRegion ident.Region
	Holder      *Holder
	Store       Store
	// Dial connects to a daemon. Messages received on the connection are passed to the daemon's
	// shared handler.
	Dial func(ctx context.Context, addr ident.Addr) (*wire.Conn, error)
	// Forwarders returns the forwarders of the node's own data centre in order of rank.
	Forwarders func() []ident.Addr
	// Contacts returns other daemons of the node's own data centre, to be tried at start and
	// when no forwarder responds.
	Contacts func() []ident.Addr
	// Heartbeat sends the held Version to the upstream and returns the upstream's. If nil, the
	// node sends a fanout.Beat message.
	Heartbeat func(ctx context.Context, c *wire.Conn, v ident.Version) (ident.Version, error)
	// Connected is called after each accepted subscription. It may be nil and must not block.
	Connected func(c *wire.Conn)
	// Unreachable is called with the address of an upstream that could not be dialled or stopped
	// responding. It may be nil.
	Unreachable func(addr ident.Addr)
	Jitter      *Jitter
	Stats       *stats.Set
	Log         *event.Log
	Limits      Limits
}

// Limits limits the load of a forwarder. Zero fields use the defaults.
type Limits struct {
	Subscribers int // per forwarder; default 256, for the 190 daemons of a data centre and other forwarders
	Transfers   int // concurrent snapshot transfers per forwarder; default 8
}

func (l Limits) withDefaults() Limits {
	if l.Subscribers == 0 {
		l.Subscribers = 256
	}
	if l.Transfers == 0 {
		l.Transfers = 8
	}
	return l
}

// Intervals and timeouts of the protocol. A lost upstream is detected within
// heartbeatInterval+callTimeout, which leaves more than 1 s of the 4 s convergence target for
// connecting to another upstream and receiving the update.
const (
	heartbeatInterval = 2 * time.Second
	callTimeout       = 600 * time.Millisecond
	// storeTimeout limits a small call to the store, which may be slow at times.
	storeTimeout = 2 * time.Second
	// transferTimeout limits the transfer of one update. A snapshot of 20,000 rows takes about
	// 0.1 s on the shared link of 30 Mbit/s.
	transferTimeout = 5 * time.Second
	// headConfirmTimeout limits the writes of an agreement after a restore of the store. The 40 chunks of 20,000 rows are
	// within the burst of the call budget.
	headConfirmTimeout = 10 * time.Second
	// Range of the backoff delay (full jitter) between connection attempts.
	retryInitialDelay = 100 * time.Millisecond
	retryMaxDelay     = time.Second
	// leaseRenewInterval is a third of the root lease's TTL of 6 s.
	leaseRenewInterval = 2 * time.Second
	// rootReadInterval is how often a forwarder whose root responds checks that the store still
	// names that root.
	rootReadInterval = 15 * time.Second
	// upstreamSilenceTimeout is how long its upstream may be silent before the root of another
	// region reads head itself.
	upstreamSilenceTimeout = 3 * time.Second
)
