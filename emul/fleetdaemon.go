package emul

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/fanout"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Daemon is one daemon of a Fleet.
type Daemon struct {
	Addr    ident.Addr
	Place   ident.Place
	Service ident.ServiceID

	f     *Fleet
	index int

	mu       sync.Mutex
	running  bool
	Holder   *fanout.Holder
	Node     *fanout.Node
	Agent    *peers.Agent
	Registry *peers.Registry
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	conns    map[*wire.Conn]struct{}
}

// Running reports whether d is running.
func (d *Daemon) Running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

// Version returns the Version that d serves; zero if d is not running.
func (d *Daemon) Version() ident.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.running {
		return 0
	}
	return d.Holder.Agreement().Version()
}

// Start starts a new process of d without any state.
func (d *Daemon) Start() {
	f := d.f
	f.mu.Lock()
	f.starts++
	seed := f.starts
	f.mu.Unlock()

	d.mu.Lock()
	defer d.mu.Unlock()
	log := f.Log.With("Daemon", d.Addr)
	d.running = true
	d.conns = map[*wire.Conn]struct{}{}
	d.Holder = fanout.NewHolder(f.Stats, log)
	if f.Served != nil {
		d.Holder.Watch(func(old, cur *agree.Agreement) { f.Served(d.Addr, old, cur) })
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	f.Net.Listen(d.Addr, d.Place, func(nc net.Conn) { d.serve(nc) })
	if f.Baseline {
		d.wg.Go(func() { d.watchStore(ctx) })
		return
	}
	d.createNode(seed, log)
	d.wg.Go(func() { _ = d.Node.Run(ctx) })
	d.wg.Go(func() { _ = d.Agent.Run(ctx) })
	d.Agent.Announce(peers.Server{Service: d.Service, Addr: d.httpAddr(), Slots: 9, Conns: 120, State: peers.Ready})
}

// httpAddr returns the HTTP address of d.
func (d *Daemon) httpAddr() ident.Addr {
	return ident.Addr(strings.TrimSuffix(string(d.Addr), "7001") + "7000")
}

// HTTP returns the HTTP address of d.
func (d *Daemon) HTTP() ident.Addr { return d.httpAddr() }

func (d *Daemon) createNode(seed uint64, log *event.Log) {
	f := d.f
	j := fanout.NewJitter(seed)
	inc := ident.NewIncarnation(time.Now())
	// The functions below refer to node, not to d.Node: a handler that still runs after its
	// process has ended must not call the node of the next process.
	var node *fanout.Node
	d.Registry = peers.NewRegistry()
	d.Agent = peers.New(peers.Deps{
		Addr: d.Addr, Incarnation: inc, Place: d.Place, Registry: d.Registry, Contacts: f.contacts(),
		ReadContacts:  f.Platform.ReadContacts(d.Addr, d.Place),
		WriteContacts: f.Platform.WriteContacts(d.Addr, d.Place),
		Dial:          d.dial,
		Upstream:      func() *wire.Conn { return node.Upstream() },
		ReportVersion: func(c *wire.Conn, a ident.Addr, v ident.Version) ident.Version {
			return node.HandleHeartbeat(c, a, v)
		},
		ForwardersChanged: func() { node.RecheckUpstream() },
		Within:            j.Duration, Stats: f.Stats, Log: log,
	})
	node = fanout.New(fanout.Deps{
		Addr: d.Addr, Incarnation: inc, Place: d.Place, StoreRegion: f.daemons[0].Place.Region,
		Holder: d.Holder, Store: f.Platform.Store(d.Addr, d.Place), Dial: d.dial,
		Forwarders: d.Agent.Forwarders, Contacts: d.Agent.Contacts, Heartbeat: d.Agent.Heartbeat,
		Connected: d.Agent.Connected, Unreachable: d.Agent.Unreachable, Jitter: j, Stats: f.Stats, Log: log,
		Limits: f.Limits,
	})
	d.Node = node
}

// Stop stops d gracefully.
func (d *Daemon) Stop() {
	d.Agent.Leave(context.Background())
	d.Kill()
}

// Kill stops d as a crash would.
func (d *Daemon) Kill() {
	d.mu.Lock()
	if !d.running {
		d.mu.Unlock()
		return
	}
	d.running = false
	conns := d.conns
	d.conns = nil
	d.mu.Unlock()
	d.cancel()
	d.f.Net.Kill(d.Addr)
	for c := range conns {
		_ = c.Close()
	}
	d.wg.Wait()
}

func (d *Daemon) dial(ctx context.Context, to ident.Addr) (*wire.Conn, error) {
	nc, err := d.f.Net.Dial(ctx, d.Addr, to)
	if err != nil {
		return nil, err
	}
	return d.serve(nc), nil
}

func (d *Daemon) serve(nc net.Conn) *wire.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := wire.NewConn(nc, daemonProcess{d, d.Agent, d.Node}.handle)
	if !d.running {
		_ = c.Close()
		return c
	}
	d.conns[c] = struct{}{}
	d.wg.Go(func() {
		_ = c.Serve()
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	})
	return c
}

// watchStore implements the baseline: it watches the store and loads the full state on each
// change.
func (d *Daemon) watchStore(ctx context.Context) {
	s := d.f.Platform.Store(d.Addr, d.Place)
	d.Holder.AllowServing()
	for ctx.Err() == nil {
		v, _, err := s.WatchHead(ctx, d.Holder.Held().Version())
		if err == nil && v > d.Holder.Held().Version() {
			var a *agree.Agreement
			if a, err = s.LoadAgreement(ctx); err == nil {
				d.f.Net.AddReceived(d.Addr, d.f.Platform.fullBytes())
				_ = d.Holder.Install(a)
			}
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
