package mesh

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/admit"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/poison"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/route"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
	"github.com/marjoramcroft/marjoramcroft/table"
)

// Deps are the dependencies of a Node.
type Deps struct {
	Self   ident.Addr // for links
	Place  ident.Place
	Caller func() ident.ServiceID // service whose calls come from this VM
	Config Config
	Names  origin.Names
	Store  *store.Client
	Keys   Keys
	// Decode reads a configuration in the operators' encoding.
	Decode func([]byte) (table.Spec, error)
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Log    *event.Log
	Stats  *stats.Set
	Now    func() time.Time // nil: the process's clock
	Random func() float64   // in [0, 1); safe for concurrent use
}

// Keys are where the store holds what the daemons need.
type Keys struct {
	Config string // the operators' configuration
	Peers  string // prefix of the daemons' entries
	Both   string // prefix of both, so that one watch covers them
}

// Node is the part of a daemon that serves open services.
type Node struct {
	d       Deps
	life    ident.Incarnation
	table   atomic.Pointer[table.Table]
	roster  *roster
	board   *route.Board
	slots   *admit.Slots
	retries *retry.Shared
	usual   usual
	offers  offers
	crashes crashes
	// suspects are requests that were in flight when backend servers crashed.
	suspects *poison.Suspects
	links    links
	readers  readers

	stopping atomic.Bool
	synced   atomic.Bool   // the last call to the store succeeded
	reading  atomic.Bool   // the store is read here, not by following a reader
	answered atomic.Int64  // when the store last told what it holds, Unix nanoseconds
	asking   atomic.Bool   // another daemon is about to be asked for a configuration
	probing  atomic.Bool   // the backend server accepts no connection and is tried
	changed  chan struct{} // the own entry in the store is out of date
	hurry    chan struct{} // another daemon has a later configuration
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu     sync.Mutex
	server *local // beside the daemon; nil: none is known. It is replaced, not modified.
	seq    int64
	raw    []byte // the configuration in force, in the operators' encoding
	zipped []byte // raw compressed; nil: not yet
	conns  map[*link.Conn]struct{}
	entry  entryKey
}

// New returns a Node that knows nothing. Start must be called.
func New(d Deps) *Node {
	if d.Now == nil {
		d.Now = time.Now
	}
	n := &Node{
		d: d, life: ident.NewIncarnation(d.Now()), roster: newRoster(),
		board: route.NewBoard(d.Place, d.Now, d.Random), slots: admit.NewSlots(d.Now),
		usual: newUsual(), suspects: poison.New(poison.Deps{Log: d.Log, Stats: d.Stats}),
		links: links{open: map[ident.Addr]*opening{}},
		conns: map[*link.Conn]struct{}{}, changed: make(chan struct{}, 1), hurry: make(chan struct{}, 1),
	}
	n.readers.init()
	n.retries = retry.NewShared(d.Config.Retries, n.roster.daemons, d.Now)
	n.ctx, n.stop = context.WithCancel(context.Background())
	return n
}

// Start begins to follow the store.
func (n *Node) Start() {
	n.learnSelf(n.self())
	n.wg.Go(n.follow)
	n.wg.Go(n.register)
	n.wg.Go(n.subscribe)
}

// Version returns the Version in force; zero if there is none yet.
func (n *Node) Version() ident.Version { return n.table.Load().Version() }

// Limits returns the limits on callers of the configuration in force.
func (n *Node) Limits() (table.Limits, bool) {
	t := n.table.Load()
	if t == nil {
		return table.Limits{}, false
	}
	return t.Limits(), true
}

// Ready reports whether callers are to be sent here.
func (n *Node) Ready() bool { return n.table.Load() != nil && !n.stopping.Load() }

// adopt brings a configuration into force if it is later than the present one.
func (n *Node) adopt(raw []byte, from, source string) {
	spec, err := n.d.Decode(raw)
	if err != nil {
		n.d.Log.Emit(event.ConfigInvalid, "From", from, "Source", source, "Error", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if spec.Version <= n.Version() {
		return
	}
	t, err := table.New(spec)
	if err != nil {
		n.d.Log.Emit(event.ConfigInvalid, "From", from, "Source", source, "Error", err)
		return
	}
	old := n.Version()
	n.raw, n.zipped = raw, nil
	n.table.Store(t)
	n.d.Stats.Gauge("Config.Version", int64(spec.Version))
	n.d.Log.Emit(event.ConfigInForce, "Version", spec.Version, "Before", old, "Routes", len(spec.Routes), "From", from, "Source", source)
}

// Drain tells the others that this daemon stops: it gets no further requests of them. Calls of callers
// are still served. It returns when no request runs at the backend server, or ctx ends.
func (n *Node) Drain(ctx context.Context) {
	n.stopping.Store(true)
	n.publish()
	t := time.NewTicker(drainCheck)
	defer t.Stop()
	for n.slots.Level().Running > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainCheck is the period in which a stop looks for the end of the last request.
const drainCheck = 20 * time.Millisecond

// Close ends all work.
func (n *Node) Close() {
	n.leaveStore()
	n.stop()
	n.closeLinks()
	n.wg.Wait()
}

func (n *Node) closeLinks() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.Close()
	}
}

// unreachable stops requests to a backend server that accepts no connection, until it does again.
func (n *Node) unreachable(s *local) {
	if !n.probing.CompareAndSwap(false, true) {
		return
	}
	n.slots.Close(unreachableRefusal())
	n.d.Log.Emit(event.BackendUnreachable, "Server", s.ID, "Addr", s.addr)
	n.wg.Go(func() { n.probe(s) })
}

// probeEvery is the period in which an unreachable backend server is tried. It is on the same VM, so
// that a try costs next to nothing.
const probeEvery = 100 * time.Millisecond

func (n *Node) probe(s *local) {
	defer n.probing.Store(false)
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
		}
		cur := n.beside()
		if cur == nil || cur.ID != s.ID || cur.Born != s.Born || cur.State != Ready {
			return // another heartbeat has decided
		}
		nc, err := n.d.Dial(n.ctx, "tcp", s.addr)
		if err != nil {
			continue
		}
		_ = nc.Close()
		n.slots.Open(cur.Slots)
		n.d.Log.Emit(event.BackendReachable, "Server", s.ID)
		return
	}
}
