// Package emul emulates the store and backend servers, and generates load.
package emul

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// BackendState is the state that a backend server announces.
type BackendState string

// The states of a backend server.
const (
	BackendStarting BackendState = "Starting"
	BackendReady    BackendState = "Ready"
	BackendDraining BackendState = "Draining"
	BackendGone     BackendState = "Gone"
)

// Backend is an emulated backend server. The counts of runs are kept across
// crashes, as a real backend server keeps the effects of its calls.
type Backend struct {
	cfg    BackendConfig
	slots  chan struct{}
	notify chan struct{} // wakes the announcer
	client *http.Client
	chain  *http.Transport // for the calls that this backend server makes in call chains

	mu      sync.Mutex
	addr    string
	state   BackendState
	process *backendProcess // nil while crashed or closed
	// incarnation of the current or last process
	incarnation ident.Incarnation
	closed      bool
	readyAt     time.Time // when the current process becomes ready
	slowFactor  float64
	slowUntil   time.Time
	rand        *rand.Rand
	runs        map[string]int
	completed   map[string]int
	waiting     int
	running     int
	sheds       int
	crashes     int
	loadHistory []loadSample
	wg          sync.WaitGroup
	stop        context.CancelFunc
}

// backendProcess is one process of a backend server, from a start to a crash or Close.
type backendProcess struct {
	server *http.Server
	ctx    context.Context
	cancel context.CancelFunc
}

// NewBackend returns a Backend that is not started.
func NewBackend(cfg BackendConfig) *Backend {
	cfg = cfg.withDefaults()
	b := &Backend{
		cfg:        cfg,
		slots:      make(chan struct{}, cfg.Slots),
		notify:     make(chan struct{}, 1),
		addr:       cfg.Addr,
		state:      BackendGone,
		slowFactor: 1,
		rand:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		runs:       map[string]int{},
		completed:  map[string]int{},
	}
	b.chain = &http.Transport{DialContext: cfg.Dial, DisableCompression: true, MaxIdleConnsPerHost: int(cfg.Slots)}
	b.client = &http.Client{Transport: &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: 1}, Timeout: time.Second}
	return b
}

// Start starts the first process and the announcements.
func (b *Backend) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	b.mu.Lock()
	b.stop = cancel
	b.mu.Unlock()
	if err := b.startProcess(); err != nil {
		cancel()
		return err
	}
	if b.cfg.Announce != "" {
		b.wg.Go(func() { b.announceLoop(ctx) })
	}
	return nil
}

// Addr returns the address on which the backend server listens or last listened.
func (b *Backend) Addr() ident.Addr {
	b.mu.Lock()
	defer b.mu.Unlock()
	return ident.Addr(b.addr)
}

// State returns the announced state.
func (b *Backend) State() BackendState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// startProcess starts a new process. A restart listens on the address of the first start.
func (b *Backend) startProcess() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	ln, err := b.cfg.Listen(b.addr)
	if err != nil {
		return fmt.Errorf("start backend server: %w", err)
	}
	b.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	p := &backendProcess{ctx: ctx, cancel: cancel}
	p.server = &http.Server{
		Handler:           http.HandlerFunc(b.ServeHTTP),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ErrorLog:          log.New(io.Discard, "", 0),
		ReadHeaderTimeout: 10 * time.Second,
	}
	ln = newLimitListener(ln, b.cfg.Conns)
	if f := b.cfg.Guard; f != nil {
		ln = f(p.server, ln)
	}
	b.process = p
	// The next process may start within the resolution of the clock.
	b.incarnation = max(b.incarnation+1, ident.NewIncarnation(time.Now()))
	b.slowFactor = 1
	b.readyAt = time.Now().Add(b.cfg.StartTime)
	b.setState(BackendStarting)
	if b.cfg.StartTime <= 0 {
		b.setState(BackendReady)
	} else {
		time.AfterFunc(b.cfg.StartTime, func() { b.becomeReady(p) })
	}
	b.wg.Go(func() {
		// Serve returns ErrServerClosed after a crash and after Close.
		_ = p.server.Serve(ln)
	})
	return nil
}

func (b *Backend) becomeReady(p *backendProcess) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.process == p && b.state == BackendStarting {
		b.setState(BackendReady)
	}
}

// setState sets the state and wakes the announcer. The caller holds mu.
func (b *Backend) setState(s BackendState) {
	b.state = s
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

// Crash ends the process: listener and connections are closed at once, running calls are
// aborted, nothing is announced. A new process starts after the configured delay.
func (b *Backend) Crash() {
	b.mu.Lock()
	p := b.process
	b.process = nil
	closed := b.closed
	if p != nil {
		b.crashes++
	}
	b.mu.Unlock()
	if p == nil {
		return
	}
	p.cancel()
	_ = p.server.Close()
	if closed {
		return
	}
	time.AfterFunc(b.cfg.Restart, func() {
		// If another process has taken the port meanwhile, the server stays down.
		_ = b.startProcess()
	})
}

// Drain announces Draining, waits until no call is in flight and closes the backend
// server. The error is that of ctx if it ends first.
func (b *Backend) Drain(ctx context.Context) error {
	b.mu.Lock()
	p := b.process
	b.setState(BackendDraining)
	b.mu.Unlock()
	if p == nil {
		return nil
	}
	// The daemon stops sending once it has this announcement; closing connections earlier
	// would break calls in flight.
	if err := b.announce(ctx); err != nil {
		return fmt.Errorf("announce drain: %w", err)
	}
	for !b.isIdle() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain: %w", ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
	if err := p.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	b.mu.Lock()
	b.setState(BackendGone)
	b.mu.Unlock()
	if err := b.announce(ctx); err != nil {
		return fmt.Errorf("announce gone: %w", err)
	}
	return b.Close()
}

func (b *Backend) isIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running == 0 && b.waiting == 0
}

// Close stops the backend server at once. It does not start again.
func (b *Backend) Close() error {
	b.mu.Lock()
	p := b.process
	b.closed, b.process, b.state = true, nil, BackendGone
	stop := b.stop
	b.mu.Unlock()
	if stop != nil {
		stop()
	}
	var err error
	if p != nil {
		p.cancel()
		err = p.server.Close()
	}
	b.wg.Wait()
	b.client.CloseIdleConnections()
	b.chain.CloseIdleConnections()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("close backend server: %w", err)
	}
	return nil
}

// Slow multiplies service times by factor for the duration d.
func (b *Backend) Slow(factor float64, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slowFactor, b.slowUntil = factor, time.Now().Add(d)
}

// Runs returns how often the request with the id started to run.
func (b *Backend) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// Completions returns how often the request with the id ran to completion.
func (b *Backend) Completions(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.completed[id]
}

// Running returns the number of calls that are running.
func (b *Backend) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running
}

// Crashes returns how often the backend server has crashed.
func (b *Backend) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

// Sheds returns the number of calls that were shed.
func (b *Backend) Sheds() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sheds
}
