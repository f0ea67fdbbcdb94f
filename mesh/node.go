package mesh

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/admit"
	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/guard"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/pace"
	"github.com/marjoramcroft/marjoramcroft/poison"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/route"
	"github.com/marjoramcroft/marjoramcroft/spill"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
	"github.com/marjoramcroft/marjoramcroft/table"
)

// Deps are the dependencies of a Node.
type Deps struct {
	Self   ident.Addr // address for links
	Place  ident.Place
	Caller func() ident.ServiceID // service that sends the calls from this VM
	Config Config
	Names  origin.Names
	Store  *store.Client
	Keys   Keys
	// Decode reads a configuration in the operators' encoding.
	Decode func([]byte) (table.Spec, error)
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Log    *event.Log
	Stats  *stats.Set
	Now    func() time.Time // nil: time.Now
	Random func() float64   // in [0, 1); safe for concurrent use
	// Reclaim is called when the memory for requests is in use, as origin.BodyBudget.OnFull has it; nil: not called.
	Reclaim func(need int64) bool
}

// Keys are the store keys used by the daemons.
type Keys struct {
	Config      string // the operators' configuration
	Peers       string // prefix of the daemons' entries
	WatchPrefix string // common prefix of Config and Peers, for a single watch
}

// Node routes requests for open services in a daemon.
type Node struct {
	d            Deps
	incarnation  ident.Incarnation
	started      time.Time // on the steady clock; incarnation is from the clock of Deps.Now
	table        atomic.Pointer[table.Table]
	peers        *peerList
	board        *route.LoadTable
	slots        *admit.Slots
	retries      *retry.SharedBudget
	latencies    latencyStats
	deadlines    callerDeadlines
	noWait       noWaitStats
	spill        *spill.Controller
	answerSizes  answerSizes
	bodies       *origin.BodyBudget // responses of the backend server
	unidentified *guard.Links[*link.Conn]
	requests     *origin.BodyBudget // requests in progress, and what waits to be written
	crashes      crashDetector
	// suspects holds requests that were in flight when backend servers crashed.
	suspects *poison.Suspects
	answers  *answerStats
	// linkOverload tracks requests that were refused because of the link.
	linkOverload linkOverload
	pacer        *pace.Link                  // orders what is sent to other daemons; nil: nothing does
	paths        map[ident.Region]*pace.Path // to other regions; guarded by mu
	links        links
	rates        *rates
	subs         *subscriptions
	stored       *storedSeq

	configMu sync.Mutex // held while a configuration is adopted and passed on
	stateMu  sync.Mutex // held while store entries are applied and passed on
	// asOf is the position of the store up to which all entries are known; revision zero: not yet. Guarded by stateMu.
	asOf store.Position
	// watched is the position up to which the daemon's last watch found no change. It is after asOf if other keys have
	// changed. Guarded by stateMu.
	watched store.Position

	stopping             atomic.Bool
	storeReachable       atomic.Bool      // the last call to the store succeeded
	readsStore           atomic.Bool      // reads the store itself, rather than following a reader
	lastStoreReply       delay.AtomicTime // time of the last successful store call
	configRequestPending atomic.Bool      // a request for a newer configuration is scheduled
	newest               newestVersion    // shown by another daemon
	accounts             *accountNames    // of the counters for each account
	spillAdaptive        atomic.Bool      // the costs of distances are adaptive with the configuration in force
	probing              atomic.Bool      // the backend server is unreachable and being probed
	ownEntryReading      atomic.Bool      // readOwnEntry was started
	ownEntryRead         context.Context  // done when readOwnEntry has ended, or need not be waited for
	ownEntryReadDone     context.CancelFunc
	entryOutdated        chan struct{} // the daemon's own store entry is outdated
	newerVersion         chan struct{} // another daemon has a newer configuration
	ctx                  context.Context
	stop                 context.CancelFunc
	wg                   sync.WaitGroup
	calls                context.Context // done when calls of callers on the VM are to end
	endCalls             context.CancelFunc
	retryAfterEnd        atomic.Int64 // after calls is done, in nanoseconds

	mu           sync.Mutex
	server       *localServer // beside the daemon; nil: none is known. Replaced, never modified.
	displaced    displacedServer
	doubt        doubt // about departures before the daemon's start
	unconfirmed  unconfirmedServer
	witnessed    bool       // acceptWitness has found one
	departures   departures // of processes other than that of server
	seq          int64
	doc          *document                 // the configuration in force; nil: none
	conns        map[*link.Conn]ident.Addr // the daemon at the other end; empty until it has sent its state
	linkCount    map[ident.Addr]int        // the number of conns to each daemon; none is zero
	entry        ownEntry
	verdicts     []poison.Suspect // as in the daemon's own state
	departureSeq int64            // sequence number of the last state with a new departure
	era          store.Era        // highest era of the store so far; zero: not known
	// storeLatency is the shortest call to the store so far; zero: none has succeeded.
	storeLatency time.Duration
	// versionRequested is when this daemon, as a root that the store does not answer, last requested a newer configuration.
	versionRequested time.Time
}

// New returns a Node without configuration or peers. Call Start to run it.
func New(d Deps) *Node {
	if d.Now == nil {
		d.Now = time.Now
	}
	n := &Node{
		d: d, incarnation: ident.NewIncarnation(d.Now()), started: time.Now(), peers: newPeerList(),
		board: route.NewLoadTable(d.Place, d.Now, d.Random), slots: admit.NewSlots(d.Now),
		latencies: newLatencyStats(), deadlines: newCallerDeadlines(), suspects: poison.New(poison.Deps{Self: d.Self, Log: d.Log, Stats: d.Stats}),
		unidentified: newUnidentifiedLinks(d),
		bodies:       origin.NewBodyBudget(d.Config.BodyMemory), requests: origin.NewBodyBudget(d.Config.RequestMemory),
		links:   links{open: map[ident.Addr]*pendingLink{}},
		answers: newAnswerStats(), paths: map[ident.Region]*pace.Path{}, spill: spill.New(d.Config.Spill, d.Random),
		subs: newSubscriptions(), stored: newStoredSeq(), accounts: newAccountNames(maxCountedAccounts),
		conns: map[*link.Conn]ident.Addr{}, linkCount: map[ident.Addr]int{}, entryOutdated: make(chan struct{}, 1), newerVersion: make(chan struct{}, 1),
	}
	n.requests.OnFull(d.Reclaim)
	n.bodies.Precede(n.requests)
	n.pacer = n.newPacer()
	n.updatePacing(nil)
	n.retries = retry.NewSharedBudget(d.Config.Retries, n.peers.daemons, d.Now)
	n.rates = newRates(n)
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.ownEntryRead, n.ownEntryReadDone = context.WithCancel(n.ctx)
	n.calls, n.endCalls = context.WithCancel(context.Background())
	return n
}

// Start begins synchronising with the store and the other daemons.
func (n *Node) Start() {
	n.updateSelf(n.self())
	n.ownEntryReading.Store(true)
	n.wg.Go(n.readOwnEntry)
	n.wg.Go(n.followStore)
	n.wg.Go(n.maintainEntry)
	n.wg.Go(n.maintainSubscriptions)
	n.wg.Go(n.maintainRates)
}

// Version returns the Version in force; zero if there is none.
func (n *Node) Version() ident.Version { return n.table.Load().Version() }

// Limits returns the limits for callers in the configuration in force.
func (n *Node) Limits() (table.Limits, bool) {
	t := n.table.Load()
	if t == nil {
		return table.Limits{}, false
	}
	return t.Limits(), true
}

// Ready reports whether callers can send requests to this daemon.
func (n *Node) Ready() bool { return n.table.Load() != nil && !n.stopping.Load() }

// Drain tells the other daemons that this one is stopping, so that they send it no further requests. Calls
// from callers on the VM are still served. Drain returns when no request is running at the backend server and each call
// of another daemon has been answered, or when ctx is done.
func (n *Node) Drain(ctx context.Context) {
	n.stopping.Store(true)
	n.rates.stopKeeper()
	n.publish()
	t := time.NewTicker(drainCheckInterval)
	defer t.Stop()
	for n.slots.Status().Running > 0 || n.unanswered() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// unanswered returns the number of calls from other daemons whose answers have not been written to their links. The slots
// show neither a call that is being decoded nor an answer that is queued.
func (n *Node) unanswered() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for c := range n.conns {
		sum += c.Unanswered()
	}
	return sum
}

// drainCheckInterval is how often Drain checks for requests without an answer.
const drainCheckInterval = 20 * time.Millisecond

// Close refuses the requests that wait for a slot as not run, removes the daemon's entry from the store, ends all links as
// link.Conn.Shutdown does and waits for the daemon's goroutines. Links that have not ended when ctx is done are closed. An
// entry with departures or verdicts, or in doubt about departures, stays until its lease ends, for the daemon's next process: other daemons forget it after
// missingTime.
func (n *Node) Close(ctx context.Context) {
	n.stopping.Store(true)
	n.slots.Close(stoppingRefusal())
	n.endRates()
	var links sync.WaitGroup
	links.Go(func() { n.shutdownLinks(ctx) })
	if !n.hasDepartures() && !n.hasVerdicts() && !n.inDoubt() {
		n.removeEntry()
	}
	n.stop()
	links.Wait()
	n.wg.Wait()
}

// shutdownLinks ends all links, and closes them when ctx is done.
func (n *Node) shutdownLinks(ctx context.Context) {
	n.mu.Lock()
	conns := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, c := range conns {
		wg.Go(func() { c.Shutdown(ctx) })
	}
	wg.Wait()
}

// markUnreachable stops sending requests to a backend server that refuses connections, until a probe
// succeeds.
func (n *Node) markUnreachable(s *localServer) {
	if !n.probing.CompareAndSwap(false, true) {
		return
	}
	n.slots.Close(unreachableRefusal())
	n.d.Log.Emit(event.BackendUnreachable, "Server", s.ID, "Addr", s.addr)
	n.wg.Go(func() { n.probe(s) })
}

// probeInterval is how often an unreachable backend server is dialled. It is on the same VM, so a probe is
// cheap.
const probeInterval = 100 * time.Millisecond

func (n *Node) probe(s *localServer) {
	defer n.probing.Store(false)
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-t.C:
		}
		cur := n.currentServer()
		if cur == nil || cur.ID != s.ID || cur.Born != s.Born || cur.State != Ready {
			return // replaced, or its state changed by a heartbeat
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
