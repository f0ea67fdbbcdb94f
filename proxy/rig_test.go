package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// rig is a test network of an entry daemon, and daemons d0, d1... beside the backend servers
// b0, b1... It runs in memory, or on loopback with newRigOn. Choice, gate and quota are the
// simplest that satisfy their contracts.
type rig struct {
	tb       testing.TB
	net      *emul.Net
	stats    *stats.Set
	entry    *Entry
	targets  []*Target
	backends []*emul.Backend
	servers  []*http.Server
	client   *http.Transport
	cleanups []func()

	mu       sync.Mutex
	agr      *agree.Agreement
	picks    []ident.Addr // servers chosen so far
	outcomes []Outcome
	crashes  int
	cleared  int // completed calls
	inUse    int
	keys     map[string]*keyRecord
	refusal  map[string]error // by the stage that refuses: "Suspect", "Acquire", "Enter"
	hedge    time.Duration
	state    map[ident.Addr]emul.BackendState // as announced to each daemon
}

func rigRows() []agree.Row {
	return []agree.Row{
		{Kind: agree.KindMember, Member: "office"},
		{Kind: agree.KindService, Service: "lessons"},
		{Kind: agree.KindCap, Member: "office", Service: "lessons", Units: 9},
		{Kind: agree.KindRoute, Route: "m", Member: "office", Service: "lessons", Prefix: "/", Class: agree.Short, Repeat: agree.RepeatByMethod, Timeout: 2 * time.Second},
		{Kind: agree.KindRoute, Route: "once", Member: "office", Service: "lessons", Prefix: "/once", Class: agree.Short, Repeat: agree.RepeatOnce, Timeout: 2 * time.Second},
		{Kind: agree.KindRoute, Route: "safe", Member: "office", Service: "lessons", Prefix: "/safe", Class: agree.Short, Repeat: agree.RepeatIdempotent, Timeout: 2 * time.Second},
		{Kind: agree.KindRoute, Route: "long", Member: "office", Service: "lessons", Prefix: "/long", Class: agree.Long, Repeat: agree.RepeatByMethod, Timeout: time.Minute},
	}
}

// newRig starts n daemons with backend servers in a synctest bubble, and returns when they
// accept calls. edit may change the configurations of the backend servers.
func newRig(tb testing.TB, n int, edit func(*emul.BackendConfig)) *rig {
	g := newRigOn(emul.NewNet(), tb, n, edit)
	synctest.Wait() // all servers accept
	return g
}

func newRigOn(network *emul.Net, tb testing.TB, n int, edit func(*emul.BackendConfig)) *rig {
	a, err := agree.New(1, rigRows())
	if err != nil {
		tb.Fatal(err)
	}
	g := &rig{
		tb: tb, net: network, stats: stats.New(), agr: a, keys: map[string]*keyRecord{},
		refusal: map[string]error{}, state: map[ident.Addr]emul.BackendState{},
	}
	// If a reused connection breaks, a Transport resends some requests on its own, which would
	// be a second call with the same id.
	g.client = &http.Transport{DialContext: g.net.Dial, DisableCompression: true, DisableKeepAlives: true}
	g.entry = NewEntry(g.entryDeps("entry", nil))
	g.serve("entry", g.entry)
	for i := range n {
		g.addDaemon(i, edit)
	}
	return g
}

func (g *rig) entryDeps(self ident.Addr, local *Target) EntryDeps {
	return EntryDeps{
		Self: self, Local: local, Agreement: g.agreement, Choose: g.choose,
		Retry: retry.Deps{
			HedgeAfter: func(ident.ServiceID, agree.Class) (time.Duration, bool) { return g.hedge, g.hedge > 0 },
			// Next ignores Idempotent here: Do itself has to prevent a second run of calls
			// that are not idempotent.
			Next: func(a retry.Attempt) (retry.Decision, retry.Kind) {
				if !a.Sent {
					return retry.Decision{Retry: a.Number < 4}, retry.NotRun
				}
				return retry.Decision{Retry: a.Number < 2 && !a.Retried}, retry.Failed
			},
		},
		Claim: g.claim, Finish: g.finish, Dial: g.net.Dial, Stats: g.stats, Log: event.Discard(),
	}
}

func (g *rig) addDaemon(i int, edit func(*emul.BackendConfig)) {
	d := fmt.Sprintf("d%d", i)
	cfg := emul.BackendConfig{
		Service: "lessons", Addr: fmt.Sprintf("b%d", i), Announce: ident.Addr(d), Seed: uint64(i),
		Listen: g.net.Listen, Dial: g.net.Dial,
	}
	if edit != nil {
		edit(&cfg)
	}
	b := emul.NewBackend(cfg)
	t := NewTarget(g.targetDeps(ident.Addr(d), Backend{Service: "lessons", Addr: ident.Addr(cfg.Addr), Conns: 120}))
	g.backends, g.targets = append(g.backends, b), append(g.targets, t)
	g.serve(d, g.daemon(ident.Addr(d), t))
	if err := b.Start(); err != nil {
		g.tb.Fatal(err)
	}
}

// addBackend starts another process of the backend server at addr, beside the daemon d.
func (g *rig) addBackend(addr string, d ident.Addr) {
	b := emul.NewBackend(emul.BackendConfig{Service: "lessons", Addr: addr, Announce: d, Listen: g.net.Listen, Dial: g.net.Dial})
	g.backends = append(g.backends, b)
	if err := b.Start(); err != nil {
		g.tb.Fatal(err)
	}
}

func (g *rig) targetDeps(self ident.Addr, b Backend) TargetDeps {
	return TargetDeps{
		Backend:      func() Backend { return b },
		Agreement:    g.agreement,
		CheckSuspect: func(Suspect) error { return g.refused("Suspect") },
		BeginSuspect: func(Suspect, ident.Addr) func(bool) { return g.suspectEnded },
		ClearSuspect: func(Suspect) { g.mu.Lock(); g.cleared++; g.mu.Unlock() },
		Acquire:      func(context.Context, QuotaRequest) (func(), error) { return g.acquire() },
		Enter: func(ctx context.Context, _ GateRequest) (func(GateOutcome), error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			if s := g.state[self]; s == emul.BackendDraining || s == emul.BackendGone {
				return nil, refuse.NotRun(refuse.Draining, "")
			}
			return func(GateOutcome) {}, g.refusal["Enter"]
		},
		Dial: g.net.Dial, Stats: g.stats, Log: event.Discard(),
	}
}

// daemon returns a handler that routes announcements, calls from other daemons and calls from
// callers as a daemon does.
func (g *rig) daemon(self ident.Addr, t *Target) http.Handler {
	e := NewEntry(g.entryDeps(self, t))
	g.cleanups = append(g.cleanups, e.hops.closeIdle, func() { _ = t.Stop(g.tb.Context()) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == emul.AnnouncePath:
			g.announced(w, r, self, t)
		case r.Header.Get(HeaderHop) != "":
			t.ServeHTTP(w, r)
		default:
			e.ServeHTTP(w, r)
		}
	})
}

// announced handles an announcement of the backend server beside the daemon self.
func (g *rig) announced(w http.ResponseWriter, r *http.Request, self ident.Addr, t *Target) {
	var a emul.Announcement
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		g.tb.Error(err)
		return
	}
	leaving := a.State == emul.BackendDraining || a.State == emul.BackendGone
	if c := t.Announced(a.Incarnation, leaving); c == ProcessStale || c == ProcessLeft {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state[self] = a.State
}

func (g *rig) serve(addr string, h http.Handler) *http.Server {
	ln, err := g.net.Listen(addr)
	if err != nil {
		g.tb.Fatal(err)
	}
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	g.servers = append(g.servers, s)
	go func() { _ = s.Serve(ln) }()
	return s
}

// replaceBackend replaces the first backend server by h.
func (g *rig) replaceBackend(h http.Handler) {
	_ = g.backends[0].Close()
	g.serve("b0", h)
}

// script replaces the backend server or daemon at addr by one that writes arbitrary bytes. f
// gets each request with its body already read.
func (g *rig) script(addr string, f func(c net.Conn, r *http.Request)) {
	ln, err := g.net.Listen(addr)
	if err != nil {
		g.tb.Fatal(err)
	}
	g.cleanups = append(g.cleanups, func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			g.mu.Lock()
			g.cleanups = append(g.cleanups, func() { _ = c.Close() })
			g.mu.Unlock()
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					f(c, r)
				}
			}()
		}
	}()
}

func (g *rig) close() {
	g.client.CloseIdleConnections()
	g.entry.hops.closeIdle()
	for _, b := range g.backends {
		_ = b.Close()
	}
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.mu.Lock()
	cleanups := g.cleanups
	g.mu.Unlock()
	for _, f := range cleanups {
		f()
	}
}

func (g *rig) agreement() *agree.Agreement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.agr
}

// unitsInUse returns the number of cap units in use.
func (g *rig) unitsInUse() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inUse
}

// counts returns the numbers of picks, outcomes and crashes so far.
func (g *rig) counts() (picks, outcomes, crashes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.picks), len(g.outcomes), g.crashes
}

// refuseAt makes the stage refuse with err; a nil err ends this.
func (g *rig) refuseAt(stage string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusal[stage] = err
}

func (g *rig) refused(stage string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusal[stage]
}

func (g *rig) suspectEnded(crashed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if crashed {
		g.crashes++
	}
}

func (g *rig) acquire() (func(), error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.refusal["Acquire"]; err != nil {
		return nil, err
	}
	g.inUse++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.inUse--
	}, nil
}

// choose returns the first daemon that the call has not tried.
func (g *rig) choose(req RouteRequest) (Pick, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.targets {
		a := ident.Addr(fmt.Sprintf("d%d", i))
		tried := false
		for _, x := range req.Exclude {
			tried = tried || x == a
		}
		if !tried {
			g.picks = append(g.picks, a)
			var once sync.Once
			return Pick{Addr: a, Done: func(o Outcome) {
				again := true
				once.Do(func() { again = false })
				g.mu.Lock()
				defer g.mu.Unlock()
				if again {
					g.tb.Error("Done was called twice for one pick")
				}
				g.outcomes = append(g.outcomes, o)
			}}, nil
		}
	}
	return Pick{}, refuse.NotRun(refuse.NoServer, "all were tried")
}

// runs returns how often the request ran at all backend servers.
func (g *rig) runs(id string) int {
	n := 0
	for _, b := range g.backends {
		n += b.Runs(id)
	}
	return n
}
