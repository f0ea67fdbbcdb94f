package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/admin"
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
)

const (
	daemonCount = 4
	capUnits    = 6 // cap of the member in concurrent calls
	// freezeDuration is longer than the keeper's lease of 15 s.
	freezeDuration = 17 * time.Second
	// statusTimeout limits the time in which a daemon that is not frozen answers.
	statusTimeout = 30 * time.Second
	// giveUpBefore is the time before the limit of the test run at which the test gives up, since
	// nothing but the stacks of its goroutines is printed at the limit. It covers a status of each
	// daemon with lastStatusTimeout.
	giveUpBefore      = 20 * time.Second
	lastStatusTimeout = 3 * time.Second
)

// cluster is a service with one daemon process beside each of its backend servers.
type cluster struct {
	t           *testing.T
	store       *httptest.Server
	acceptor    *accept.Acceptor
	processes   []*exec.Cmd
	outputs     []*bytes.Buffer // of the processes; complete once they have ended
	daemonAddrs []ident.Addr
	backends    []*emul.Backend

	mu                  sync.Mutex
	running, maxRunning int
}

func (c *cluster) requireNoError(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t}
	binary := filepath.Join(t.TempDir(), "marjoramcroftd")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	s := emul.NewStore(emul.DefaultStoreConfig())
	c.store = httptest.NewServer(s.Handler())
	client := store.New(store.Deps{
		Driver: s.Driver(), Config: store.DefaultConfig(), Stats: stats.New(), Log: event.Discard(), Rand: rand.Float64,
	})
	var err error
	c.acceptor, err = accept.New(accept.Deps{
		Store: client.As(store.RoleOperator), Config: accept.DefaultConfig(), Stats: stats.New(), Log: event.Discard(), Rand: rand.Float64,
	})
	c.requireNoError(err)
	for i := range daemonCount {
		c.startDaemon(binary, i)
	}
	return c
}

// startDaemon starts daemon i and the backend server that announces itself to it.
func (c *cluster) startDaemon(binary string, i int) {
	addr := freeAddr(c.t)
	cmd := exec.Command(binary, "-listen.http", addr, "-listen.control", freeAddr(c.t), "-log.level", "error",
		"-place.region", "region", "-place.datacentre", fmt.Sprintf("dc-%d", i/2),
		"-store.region", "region", "-store.endpoint", c.store.URL)
	output := &bytes.Buffer{}
	cmd.Stdout, cmd.Stderr = output, output
	c.requireNoError(cmd.Start())
	c.processes, c.outputs = append(c.processes, cmd), append(c.outputs, output)
	c.daemonAddrs = append(c.daemonAddrs, ident.Addr(addr))
	c.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	cfg := emul.DefaultBackend()
	cfg.Service, cfg.Announce, cfg.Seed, cfg.ShortTime = "bookings", ident.Addr(addr), uint64(i), 20*time.Millisecond
	cfg.Addr, cfg.Observe = net.JoinHostPort(emul.LoopbackHost(), "0"), c.countRunning
	b := emul.NewBackend(cfg)
	c.requireNoError(b.Start())
	c.backends = append(c.backends, b)
	c.t.Cleanup(func() { _ = b.Close() })
}

// freeAddr returns a local address that no process listens on. No other test takes the port before the
// daemon listens, as tests on 127.0.0.1 might.
func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", net.JoinHostPort(emul.LoopbackHost(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// countRunning tracks the calls that run at the backend servers and their maximum.
func (c *cluster) countRunning(_ ident.MemberID, delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += delta
	c.maxRunning = max(c.maxRunning, c.running)
}

// upload proposes an agreement with one member, one service and one cap, which becomes Version 1.
func (c *cluster) upload() {
	_, err := c.acceptor.Propose(c.t.Context(), accept.Proposal{ID: "first", Author: "test", Kind: accept.KindSheet, Change: agree.Change{Put: []agree.Row{
		{Kind: agree.KindMember, Member: "office"},
		{Kind: agree.KindService, Service: "bookings"},
		{Kind: agree.KindCap, Member: "office", Service: "bookings", Units: capUnits},
		{
			Kind: agree.KindRoute, Route: "all", Member: "office", Service: "bookings", Prefix: "/",
			Class: agree.Short, Repeat: agree.RepeatByMethod, Timeout: 2 * time.Second,
		},
	}}})
	c.requireNoError(err)
}

func (c *cluster) status(ctx context.Context, i int, timeout time.Duration) (admin.Status, error) {
	var st admin.Status
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(c.daemonAddrs[i])+admin.Prefix+"status", http.NoBody)
	if err != nil {
		return st, err
	}
	resp, err := http.DefaultClient.Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		c.t.Errorf("daemon %d has not answered: %v", i, err)
	}
	if err != nil {
		return st, err
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// waitReady waits until all daemons are ready with at least version and one of them is the keeper. It returns
// the index of the keeper. If the limit of the test run is near, it prints the statuses and fails the test.
func (c *cluster) waitReady(version ident.Version) int {
	c.t.Helper()
	ctx := c.t.Context()
	if limit, ok := c.t.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, limit.Add(-giveUpBefore))
		defer cancel()
	}
	for ctx.Err() == nil {
		keeper, ready := -1, 0
		for i := range daemonCount {
			st, err := c.status(ctx, i, statusTimeout)
			if err != nil || !st.Ready || st.Version < version {
				continue
			}
			ready++
			if slices.Contains(st.Roles, "Keeper:bookings") {
				keeper = i
			}
		}
		if ready == daemonCount && keeper >= 0 {
			return keeper
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.logStatuses()
	c.t.Fatal("not all daemons are ready, or none is the keeper")
	return -1
}

// logStatuses prints the status and the output of each daemon and ends their processes.
func (c *cluster) logStatuses() {
	for i, cmd := range c.processes {
		st, err := c.status(c.t.Context(), i, lastStatusTimeout)
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		c.t.Logf("daemon %d: %+v, error %v, process ended with %v, output:\n%s", i, st, err, cmd.Wait(), c.outputs[i])
	}
}

// TestFrozenKeeperDoesNoHarm guards against a process that acts on leases that expired while it was frozen. It
// freezes the keeper of a service, which is also a holder, for longer than its lease while demand is above the
// cap.
func TestFrozenKeeperDoesNoHarm(t *testing.T) {
	c := newCluster(t)
	c.upload()
	keeper := c.waitReady(1)
	load := emul.NewLoad(emul.LoadConfig{
		Entries: c.daemonAddrs, Rate: 300, For: freezeDuration + 6*time.Second, Seed: 1, MaxInFlight: 2000,
		Mix: []emul.LoadKind{
			{Member: "office", Weight: 3, Method: http.MethodGet, Path: "/a"},
			{Member: "office", Weight: 1, Method: http.MethodPost, Path: "/b", Body: 100, Once: true},
		},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	go func() {
		time.Sleep(2 * time.Second)
		_ = c.processes[keeper].Process.Signal(syscall.SIGSTOP)
		time.Sleep(freezeDuration)
		_ = c.processes[keeper].Process.Signal(syscall.SIGCONT)
	}()
	report, err := load.Run(ctx)
	c.requireNoError(err)
	for _, v := range load.Check(emul.TotalRuns(c.backends...)) {
		t.Error(v)
	}
	if c.maxRunning > capUnits {
		t.Errorf("%d calls of the member ran concurrently, cap %d", c.maxRunning, capUnits)
	}
	if c.maxRunning < capUnits {
		t.Logf("at most %d calls ran concurrently; the cap of %d was never reached", c.maxRunning, capUnits)
	}
	if report.Short.Count == 0 {
		t.Error("no call was answered")
	}
	t.Logf("%+v", report)
	c.waitReady(1)
}
