package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/admin"
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/dedup"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/fanout"
	"github.com/marjoramcroft/marjoramcroft/guard"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/poison"
	"github.com/marjoramcroft/marjoramcroft/proxy"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/route"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Deps are the dependencies of a Daemon.
type Deps struct {
	Settings Settings
	Driver   store.Driver // for the platform's store
	Log      *event.Log
	Stats    *stats.Set
	// Dial opens connections to other daemons; the default is TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Listen opens the listeners for the addresses in Settings; the default is TCP.
	Listen func(network, addr string) (net.Listener, error)
}

// Daemon is a marjoramcroftd beside one backend server: it proxies and admits calls, and takes part in
// distribution and membership.
type Daemon struct {
	settings    Settings
	dialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	log         *event.Log
	stats       *stats.Set

	httpAddr    ident.Addr
	controlAddr ident.Addr
	incarnation ident.Incarnation

	store       *storeAdapter
	holder      *fanout.Holder
	node        *fanout.Node
	agent       *peers.Agent
	registry    *peers.Registry
	conns       *connPool
	chooser     *route.Chooser
	budget      *retry.Budget
	suspects    *poison.Suspects
	claims      atomic.Pointer[dedup.Client]
	holderLists *holderLists
	entry       *proxy.Entry
	target      *proxy.Target
	admin       *admin.Server

	httpListener    net.Listener
	httpServer      *khttp.Server
	guard           *guard.Guard // of httpListener
	transfers       *guard.Transfers
	requests        *origin.BodyBudget // memory of calls of this daemon's callers
	controlListener *wire.Listener
	unidentified    *guard.Links[*wire.Conn] // of controlListener

	activation  activation // of the Version in force
	service     atomic.Pointer[service]
	backend     backend
	stopping    atomic.Bool
	outSuspects *suspectQueue
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// New opens the listeners and builds a Daemon. It serves nothing until Run is called.
func New(d Deps) (*Daemon, error) {
	if d.Listen == nil {
		d.Listen = net.Listen
	}
	if d.Dial == nil {
		d.Dial = (&net.Dialer{}).DialContext
	}
	httpListener, err := d.Listen("tcp", d.Settings.Listen.HTTP)
	if err != nil {
		return nil, fmt.Errorf("listen for HTTP: %w", err)
	}
	controlListener, err := d.Listen("tcp", d.Settings.Listen.Control)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for control messages: %w", err), httpListener.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	dm := &Daemon{
		settings: d.Settings, dialContext: d.Dial, stats: d.Stats,
		httpAddr: ident.Addr(httpListener.Addr().String()), controlAddr: ident.Addr(controlListener.Addr().String()),
		incarnation:  ident.NewIncarnation(time.Now()),
		httpListener: httpListener, ctx: ctx, cancel: cancel, outSuspects: newSuspectQueue(),
	}
	dm.log = d.Log.With("Daemon", dm.httpAddr)
	dm.controlListener = wire.NewListener(controlListener, dm.handle)
	dm.controlListener.AcceptFailed = func(err error, pause time.Duration) {
		dm.log.Emit(event.LinkNotAccepted, "Error", err, "Pause", pause)
	}
	dm.limitClients()
	if err := dm.build(d.Driver); err != nil {
		cancel()
		return nil, errors.Join(err, httpListener.Close(), controlListener.Close())
	}
	return dm, nil
}

func (d *Daemon) build(driver store.Driver) error {
	cfg := store.DefaultConfig()
	cfg.Timeout = d.settings.Store.Timeout
	client := store.New(store.Deps{Driver: driver, Config: cfg, Stats: d.stats, Log: d.log, Rand: rand.Float64})
	root := client.As(store.RoleRoot)
	acceptCfg := accept.DefaultConfig()
	acceptCfg.KeepLoaded = 0 // the Holder has the agreement; a cached earlier one would double the memory
	acc, err := accept.New(accept.Deps{
		Store: root, Config: acceptCfg, Stats: d.stats, Log: d.log, Rand: rand.Float64,
	})
	if err != nil {
		return fmt.Errorf("acceptance: %w", err)
	}
	d.store = &storeAdapter{client: client, root: root, keeper: client.As(store.RoleKeeper), accept: acc}
	d.conns = newConnPool(d.dialControl)
	d.buildControl()
	d.buildCalls()
	d.buildAdmin()
	return nil
}

// buildControl builds the components for distribution and membership.
func (d *Daemon) buildControl() {
	place := d.settings.place()
	jitter := fanout.NewJitter(rand.Uint64())
	d.holder = fanout.NewHolder(d.stats, d.log)
	d.store.heldAgreement = d.holder.Held
	d.holder.Watch(d.activation.observe)
	d.registry = peers.NewRegistry()
	d.agent = peers.New(peers.Deps{
		Addr: d.controlAddr, Incarnation: d.incarnation, Place: place, Registry: d.registry,
		Contacts:     map[ident.DataCentre][]ident.Addr{place.DataCentre: d.contacts()},
		ReadContacts: d.store.readContacts, WriteContacts: d.store.writeContacts,
		Dial:     d.dialControl,
		Upstream: func() *wire.Conn { return d.node.Upstream() },
		ReportVersion: func(c *wire.Conn, a ident.Addr, v ident.Version) ident.Version {
			return d.node.HandleHeartbeat(c, a, v)
		},
		ForwardersChanged: func() { d.node.RecheckUpstream() },
		Within:            jitter.Duration, Stats: d.stats, Log: d.log,
	})
	d.node = fanout.New(fanout.Deps{
		Addr: d.controlAddr, Incarnation: d.incarnation, Place: place,
		StoreRegion: ident.Region(d.settings.Store.Region), Holder: d.holder, Store: d.store.fanout(), Dial: d.dialControl,
		Forwarders: d.agent.Forwarders, Contacts: d.agent.Contacts, Heartbeat: d.agent.Heartbeat,
		Connected: d.agent.Connected, Unreachable: d.agent.Unreachable,
		Jitter: jitter, Stats: d.stats, Log: d.log,
	})
}

func (d *Daemon) contacts() []ident.Addr {
	var out []ident.Addr
	for _, c := range d.settings.Peers.Contacts {
		out = append(out, ident.Addr(c))
	}
	return out
}

// dialControl connects to the control address of a daemon.
func (d *Daemon) dialControl(ctx context.Context, addr ident.Addr) (*wire.Conn, error) {
	return wire.Dial(ctx, d.dialContext, string(addr), d.handle)
}

// unknownMessages is the name of messages of unknown types in counters, which would grow with the types that a client
// chooses.
const unknownMessages = "Unknown"

// handle dispatches a control message and counts it. A peer that sends a message of a daemon counts as one from then on.
func (d *Daemon) handle(ctx context.Context, c *wire.Conn, t wire.Type, body []byte) ([]byte, error) {
	out, err := d.dispatch(ctx, c, t, body)
	name := string(t)
	switch {
	case errors.Is(err, wire.ErrUnknownType):
		name = unknownMessages
	case !errors.Is(err, wire.ErrCorrupt) && d.unidentified.Remove(c):
		c.Trust()
	}
	d.stats.Inc("Control.Messages." + name)
	d.stats.Add("Control.Bytes."+name, int64(len(body)+len(out)))
	return out, err
}

func (d *Daemon) dispatch(ctx context.Context, c *wire.Conn, t wire.Type, body []byte) ([]byte, error) {
	if t == fanout.TypeSnapshot && len(body) >= largeSnapshotBytes {
		defer loadGC.begin()()
	}
	pkg, _, _ := strings.Cut(string(t), ".")
	switch pkg {
	case "fanout":
		return d.node.Handle(ctx, c, t, body)
	case "peers":
		return d.agent.Handle(ctx, c, t, body)
	case "poison":
		return d.handleSuspects(body)
	}
	switch pkg {
	case "daemon", "dedup", "quota":
	default:
		return nil, fmt.Errorf("%w: %s", wire.ErrUnknownType, t)
	}
	s := d.service.Load()
	if s == nil {
		return nil, fmt.Errorf("message %s: %w", t, errNoService)
	}
	return s.handle(ctx, c, t, body)
}

// HTTP returns the address at which the daemon serves HTTP.
func (d *Daemon) HTTP() ident.Addr { return d.httpAddr }

// Control returns the address for control messages.
func (d *Daemon) Control() ident.Addr { return d.controlAddr }

// Version returns the Version in force.
func (d *Daemon) Version() ident.Version { return d.holder.Agreement().Version() }

// Agreement returns the agreement in force.
func (d *Daemon) Agreement() *agree.Agreement { return d.holder.Agreement() }

// OnVersion registers f to be called with each Version that comes into force. It must be called
// before Run.
func (d *Daemon) OnVersion(f func(ident.Version)) {
	d.holder.Watch(func(_, cur *agree.Agreement) { f(cur.Version()) })
}

// ReadyServers returns the number of known backend servers of the service that are ready. It subscribes to
// the service.
func (d *Daemon) ReadyServers(id ident.ServiceID) int {
	d.agent.Subscribe(id)
	n := 0
	for _, s := range d.registry.Servers(id) {
		if s.State == peers.Ready {
			n++
		}
	}
	return n
}

// HasBaseUnits reports whether the keeper has confirmed the daemon's base units.
func (d *Daemon) HasBaseUnits() bool {
	s := d.service.Load()
	return s != nil && s.holder.Confirmed()
}

// start starts the background goroutines.
func (d *Daemon) start() {
	if id := d.settings.Server.Service; id != "" {
		_, _ = d.ensureService(ident.ServiceID(id)) // cannot fail: no other service is set yet
	}
	d.wg.Go(func() { _ = d.node.Run(d.ctx) })
	d.wg.Go(func() { _ = d.agent.Run(d.ctx) })
	d.wg.Go(d.exchangeSuspects)
	d.wg.Go(d.fetchVerdicts)
	d.wg.Go(d.watchBackend)
	d.wg.Go(d.collectChunks)
	d.wg.Go(func() { d.guard.Run(d.ctx.Done()) })
	d.freeMemoryAfterChanges()
	d.log.Emit(event.DaemonStarted, "HTTP", d.httpAddr, "Control", d.controlAddr,
		"Region", d.settings.Place.Region, "DataCentre", d.settings.Place.DataCentre)
}

// ServeHTTP dispatches a request to the admin server, to the target for calls forwarded by other
// daemons, or to the entry for calls of callers.
func (d *Daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !guard.Begin(r) {
		panic(http.ErrAbortHandler)
	}
	d.limitBody(w, r)
	if limit := d.headerLimit(r); guard.HeaderSize(r) > limit {
		w.Header().Set("Connection", "close")
		http.Error(w, fmt.Sprintf("header above %d bytes", limit), http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if d.stopping.Load() {
		// Close each connection with its answer while stopping, because a request sent on an idle
		// connection at the end of the stop would be lost. The header also tells the caller of the stop.
		w.Header().Set("Connection", "close")
	}
	switch {
	case d.admin.Handles(r.URL.Path):
		d.admin.ServeHTTP(w, r)
	case r.Header.Get(proxy.HeaderHop) != "":
		d.target.ServeHTTP(w, r)
	default:
		d.entry.ServeHTTP(w, r)
	}
}
