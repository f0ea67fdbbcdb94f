package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/daemon"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/sheet"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// Cluster is a running deployment: one daemon and one backend server for each service in
// each place.
type Cluster struct {
	dep      Deployment
	store    *emul.Store
	acceptor *accept.Acceptor
	network  *network
	usage    *usage
	versions *versions
	log      *event.Log
	nodes    []*node
}

// node is a daemon and the backend server beside it.
type node struct {
	place    ident.Place
	service  ident.ServiceID
	settings daemon.Settings
	backend  *emul.Backend

	mu     sync.Mutex
	daemon *daemon.Daemon // the one started last
	stats  *stats.Set
	cancel context.CancelFunc
	done   chan struct{} // closed when Run has returned
	err    error         // returned by Run
}

func (n *node) current() *daemon.Daemon {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.daemon
}

// Start starts all daemons and backend servers of dep; seed seeds the backend servers.
func Start(dep Deployment, seed uint64, log *event.Log) (*Cluster, error) {
	c := &Cluster{dep: dep, store: emul.NewStore(emul.DefaultStoreConfig()), network: newNetwork(), usage: newUsage(), versions: newVersions(), log: log}
	client := store.New(store.Deps{
		Driver: c.store.Driver(), Config: store.DefaultConfig(), Stats: stats.New(), Log: log, Rand: rand.Float64,
	})
	var err error
	if c.acceptor, err = accept.New(accept.Deps{
		Store: client.As(store.RoleOperator), Config: accept.DefaultConfig(), Stats: stats.New(), Log: log, Rand: rand.Float64,
	}); err != nil {
		return nil, err
	}
	for _, p := range dep.Places {
		for _, s := range dep.Services {
			seed++
			if err := c.addNode(p, s, seed); err != nil {
				return nil, errors.Join(err, c.Stop())
			}
		}
	}
	return c, nil
}

func (c *Cluster) addNode(p ident.Place, s ident.ServiceID, seed uint64) error {
	n := &node{place: p, service: s, settings: daemon.DefaultSettings()}
	listen := net.JoinHostPort(cmp.Or(c.dep.Host, "127.0.0.1"), "0")
	n.settings.Listen = daemon.ListenConfig{HTTP: listen, Control: listen}
	n.settings.Place = daemon.PlaceConfig{Region: string(p.Region), DataCentre: string(p.DataCentre)}
	n.settings.Store.Region = string(c.dep.Places[0].Region)
	n.settings.Stop.Notice = 100 * time.Millisecond
	// Stop ends all daemons at once, so there is no keeper left to wait for.
	n.settings.Stop.Handover = time.Second
	if c.dep.Handover > 0 {
		n.settings.Stop.Handover = c.dep.Handover
	}
	if err := c.startDaemon(n); err != nil {
		return err
	}
	c.nodes = append(c.nodes, n)
	// A restarted daemon listens on the same addresses.
	d := n.current()
	n.settings.Listen = daemon.ListenConfig{HTTP: string(d.HTTP()), Control: string(d.Control())}
	c.network.register(d.HTTP(), p, false)
	c.network.register(d.Control(), p, true)
	backend := c.backendConfig(s, d.HTTP(), seed)
	backend.Addr = listen
	n.backend = emul.NewBackend(backend)
	return n.backend.Start()
}

func (c *Cluster) backendConfig(s ident.ServiceID, announce ident.Addr, seed uint64) emul.BackendConfig {
	cfg := emul.DefaultBackend()
	cfg.Service, cfg.Announce, cfg.Seed = s, announce, seed
	cfg.Slots, cfg.Conns = c.dep.Slots, c.dep.Conns
	cfg.Restart = time.Second
	if c.dep.Restart > 0 {
		cfg.Restart = c.dep.Restart
	}
	cfg.LongPath = c.dep.LongPaths[s]
	if cfg.LongPath == "" {
		cfg.LongPath = "/no-long-work"
	}
	cfg.Observe = func(m ident.MemberID, delta int) { c.usage.observe(m, s, delta) }
	return cfg
}

// startDaemon starts a new daemon for the node.
func (c *Cluster) startDaemon(n *node) error {
	set := stats.New()
	d, err := daemon.New(daemon.Deps{
		Settings: n.settings, Driver: c.store.Driver(), Log: c.log, Stats: set, Dial: c.network.dialer(n.place),
	})
	if err != nil {
		return fmt.Errorf("daemon in %s: %w", n.place.DataCentre, err)
	}
	d.OnVersion(func(v ident.Version) { c.versions.observe(d.HTTP(), v) })
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	defer n.mu.Unlock()
	done := make(chan struct{})
	n.daemon, n.stats, n.cancel, n.done, n.err = d, set, cancel, done, nil
	go func() {
		defer close(done)
		if err := d.Run(ctx); err != nil {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.err = err
		}
	}()
	return nil
}

// Kill stops the daemon of node i abruptly, as a crash would.
func (c *Cluster) Kill(i int) {
	c.nodes[i].current().Kill()
	// A crash reports no error, so that of Run is ignored.
	_ = c.Leave(i)
}

// Leave stops the daemon of node i gracefully.
func (c *Cluster) Leave(i int) error {
	n := c.nodes[i]
	n.mu.Lock()
	cancel, done := n.cancel, n.done
	n.mu.Unlock()
	cancel()
	<-done
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Restart starts a new daemon for node i at the addresses of the last one.
func (c *Cluster) Restart(i int) error { return c.startDaemon(c.nodes[i]) }

// Upload proposes the example sheet and returns the accepted Version.
func (c *Cluster) Upload(ctx context.Context) (ident.Version, error) {
	s, err := sheet.Read(c.dep.Name+".csv", strings.NewReader(c.dep.Sheet), sheet.DefaultConfig())
	if err != nil {
		return 0, err
	}
	res, err := c.acceptor.Propose(ctx, accept.Proposal{
		ID: ident.ChangeID(c.dep.Name + "-sheet"), Author: "try", Kind: accept.KindSheet,
		Change: agree.Change{Put: s.AgreementRows()},
	})
	return res.Version, err
}

// Correct proposes the example correction and returns the accepted Version.
func (c *Cluster) Correct(ctx context.Context) (ident.Version, error) {
	res, err := c.acceptor.Propose(ctx, accept.Proposal{
		ID: ident.ChangeID(c.dep.Name + "-correction"), Author: "try", Kind: accept.KindCorrection,
		Change: agree.Change{Put: []agree.Row{c.dep.Correction}},
	})
	return res.Version, err
}

// applyChange has a change accepted and returns the time from the acceptance until it is in
// force everywhere.
func (c *Cluster) applyChange(ctx context.Context, f func(context.Context) (ident.Version, error)) (time.Duration, error) {
	v, err := f(ctx)
	if err != nil {
		return 0, err
	}
	return c.WaitVersion(ctx, v)
}

// waitReady waits until every daemon knows the ready backend servers of all services and
// has its base shares.
func (c *Cluster) waitReady(ctx context.Context) error {
	for !c.isReady() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("daemons not ready: %w", ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

func (c *Cluster) isReady() bool {
	for _, n := range c.nodes {
		for _, s := range c.dep.Services {
			if n.current().ReadyServers(s) < len(c.dep.Places) {
				return false
			}
		}
		if !n.current().HasBaseUnits() {
			return false
		}
	}
	return true
}

// WaitVersion returns the time until all daemons have version v in force.
func (c *Cluster) WaitVersion(ctx context.Context, v ident.Version) (time.Duration, error) {
	start := time.Now()
	for !c.hasVersion(v) {
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("version %d not in force everywhere: %w", v, ctx.Err())
		case <-time.After(2 * time.Millisecond):
		}
	}
	return time.Since(start), nil
}

func (c *Cluster) hasVersion(v ident.Version) bool {
	for _, n := range c.nodes {
		if n.current().Version() < v {
			return false
		}
	}
	return true
}

// Entries returns the HTTP addresses of all daemons.
func (c *Cluster) Entries() []ident.Addr {
	var out []ident.Addr
	for _, n := range c.nodes {
		out = append(out, n.current().HTTP())
	}
	return out
}

// Backends returns all backend servers.
func (c *Cluster) Backends() []*emul.Backend {
	var out []*emul.Backend
	for _, n := range c.nodes {
		out = append(out, n.backend)
	}
	return out
}

// Stop stops all daemons gracefully and then the backend servers.
func (c *Cluster) Stop() error {
	var wg sync.WaitGroup
	errs := make([]error, len(c.nodes))
	for i, n := range c.nodes {
		wg.Go(func() {
			errs[i] = errors.Join(c.Leave(i), n.backend.Close())
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}
