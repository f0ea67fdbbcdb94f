package mesh

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

var (
	here = ident.Place{Region: "r", DataCentre: "a"}
	near = ident.Place{Region: "r", DataCentre: "b"}
)

// twoNodes returns a cluster of two daemons that know each other's servers of service s.
func twoNodes(t *testing.T) (*testCluster, *testNode, *testNode) {
	t.Helper()
	r := newTestCluster(t)
	r.configure(1, "s")
	a, b := r.add(here, "s"), r.add(near, "s")
	for _, n := range []*testNode{a, b} {
		eventually(t, "configuration", n.Ready)
		n.heartbeat(Ready)
	}
	a.waitForServers(t, "s", 2)
	b.waitForServers(t, "s", 2)
	return r, a, b
}

// TestCallReachesABackend guards against calls that get no answer, or that go to another data centre although
// the local server is free.
func TestCallReachesABackend(t *testing.T) {
	is := is.New(t)
	_, a, b := twoNodes(t)
	ans := a.call(t.Context(), "/s/get/1")
	is.Equal(ans.Refusal, nil)
	is.Equal(string(ans.Body), "ok "+a.backend.id)
	is.Equal(b.backend.total.Load(), int32(0))
	ans = a.call(t.Context(), "/nothing/")
	is.Equal(ans.Refusal.Reason, refuse.NoRoute)
}

// TestFailures guards against retrying requests that are not idempotent, and against refusing a request as
// not run although it may have run.
func TestFailures(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	otherID := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Answerer", "i-other") }
	tests := map[string]struct {
		path  string
		do    func(http.ResponseWriter, *http.Request)
		other func(http.ResponseWriter, *http.Request) // at the second server; nil: 200
		want  int                                      // status; zero: refused
		ran   refuse.Ran
		runs  int32 // at both servers together
	}{
		"safe, answer lost":             {"/s/get/", abort, nil, 200, "", 2},
		"unsafe, answer lost":           {"/s/buy/", abort, nil, 0, refuse.RanUnknown, 1},
		"safe, failed":                  {"/s/get/", fail, nil, 200, "", 2},
		"safe, failed at both":          {"/s/get/", fail, fail, 500, "", 2},
		"unsafe, failed":                {"/s/buy/", fail, nil, 500, "", 1},
		"unsafe, not run":               {"/s/buy/", full, nil, 200, "", 2},
		"unsafe, not run at both":       {"/s/buy/", full, full, 0, refuse.RanNo, 2},
		"safe, lost at both":            {"/s/get/", abort, abort, 0, refuse.RanUnknown, 2},
		"safe, lost, then not run":      {"/s/get/", abort, full, 0, refuse.RanUnknown, 2},
		"unsafe, not run and then lost": {"/s/buy/", full, abort, 0, refuse.RanUnknown, 2},
		"unsafe, run by another server": {"/s/buy/", otherID, nil, 0, refuse.RanUnknown, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, a, b := twoNodes(t)
			a.backend.set(tt.do)
			b.backend.set(tt.other)
			ans := a.call(t.Context(), tt.path)
			if tt.want == 0 {
				is.True(ans.Refusal != nil)
				is.Equal(ans.Refusal.Ran, tt.ran)
			} else {
				is.Equal(ans.Refusal, nil)
				is.Equal(ans.Status, tt.want)
			}
			is.Equal(a.backend.total.Load()+b.backend.total.Load(), tt.runs)
		})
	}
}

// TestDraining guards against requests, queued ones included, that reach a backend server after its draining
// was acknowledged, and against a late heartbeat that makes it ready again.
func TestDraining(t *testing.T) {
	is := is.New(t)
	_, a, b := twoNodes(t)
	hold := make(chan struct{})
	a.backend.set(func(w http.ResponseWriter, _ *http.Request) { <-hold })
	var wg sync.WaitGroup
	for range 6 { // four run, two are queued
		wg.Go(func() { a.call(t.Context(), "/s/get/") })
	}
	eventually(t, "slots in use", func() bool { return a.backend.total.Load() == 4 })
	a.heartbeat(Draining)
	ran := a.backend.total.Load()
	a.heartbeat(Ready) // out of order; draining is final
	close(hold)
	wg.Wait()
	b.waitForServers(t, "s", 1)
	for range 5 {
		is.Equal(string(a.call(t.Context(), "/s/get/").Body), "ok "+b.backend.id)
	}
	is.Equal(a.backend.total.Load(), ran)
}

// TestOutdatedHeartbeats guards against heartbeats of an earlier process that restore a replaced backend
// server.
func TestOutdatedHeartbeats(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t)
	n := r.add(here, "s")
	beat := func(id string, born, seq int64, s State) {
		is.NoErr(n.HandleHeartbeat(Heartbeat{ID: id, Service: "s", Addr: n.backend.addr, Slots: 2, State: s, Seq: seq, Started: born}))
	}
	state := func() (string, State) {
		s := n.currentServer()
		return s.ID, s.State
	}
	beat("i-1", 100, 5, Ready)
	beat("i-1", 100, 4, Draining) // out of order
	id, s := state()
	is.Equal(id+string(s), "i-1Ready")
	beat("i-2", 200, 1, Ready)
	beat("i-1", 100, 9, Ready) // delayed by a partition
	id, _ = state()
	is.Equal(id, "i-2")
	beat("i-2", 300, 1, Ready)         // a new process with the same id
	is.NoErr(n.ServerLeft("i-2", 200)) // from the previous process
	id, s = state()
	is.Equal(id+string(s), "i-2Ready")
	is.NoErr(n.ServerLeft("i-2", 300))
	_, s = state()
	is.Equal(s, Gone)
	beat("i-2", 300, 2, Ready)
	_, s = state()
	is.True(s != Ready)
	is.True(n.HandleHeartbeat(Heartbeat{ID: "i-3", Service: "s", Addr: "x", Slots: 0, Seq: 1}) != nil)
}

// TestReplacedBackend guards against requests that run at a backend server other than the intended one.
func TestReplacedBackend(t *testing.T) {
	is := is.New(t)
	_, a, b := twoNodes(t)
	a.backend.id = "i-other" // another process took over the address without a heartbeat
	ans := a.call(t.Context(), "/s/buy/")
	is.Equal(ans.Refusal, nil)
	is.Equal(string(ans.Body), "ok "+b.backend.id)
	is.Equal(a.backend.total.Load(), int32(0))
}

// TestCallerLeaves guards against requests that keep running after the caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	_, a, b := twoNodes(t)
	gone := make(chan struct{})
	wait := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(gone)
	}
	a.heartbeat(Draining) // so that the call goes over a link
	b.backend.set(wait)
	ctx, cancel := context.WithCancel(t.Context())
	go a.call(ctx, "/s/get/")
	eventually(t, "request at the backend server", func() bool { return b.backend.total.Load() == 1 })
	cancel()
	select {
	case <-gone:
	case <-time.After(400 * time.Millisecond):
		t.Error("the backend server still works 0.4 s after the caller left")
	}
	is.Equal(b.backend.total.Load(), int32(1))
}

// TestStop guards against requests sent to a daemon that is stopping, and against calls that the stop
// interrupts.
func TestStop(t *testing.T) {
	is := is.New(t)
	_, a, b := twoNodes(t)
	hold := make(chan struct{})
	b.backend.set(func(w http.ResponseWriter, _ *http.Request) { <-hold })
	running := make(chan *Answer, 1)
	go func() { running <- b.call(t.Context(), "/s/get/") }()
	eventually(t, "a request runs", func() bool { return b.backend.total.Load() == 1 })
	drained := make(chan struct{})
	go func() {
		b.Drain(t.Context())
		close(drained)
	}()
	a.waitForServers(t, "s", 1)
	is.True(!b.Ready())
	is.Equal(string(b.call(t.Context(), "/s/get/").Body), "ok "+a.backend.id) // its callers are still served
	select {
	case <-drained:
		t.Error("drained while a request runs")
	default:
	}
	close(hold)
	<-drained
	is.Equal((<-running).Refusal, nil)
}

// TestClockSetBack guards against other daemons treating a restarted daemon as its previous incarnation
// because the clock was set back before the restart.
func TestClockSetBack(t *testing.T) {
	r, a, b := twoNodes(t)
	b.kill()
	b.place, b.clockLag = here, time.Hour
	r.start(b)
	b.heartbeat(Ready)
	eventually(t, "the new life is known", func() bool {
		p, ok := a.peers.get(ident.Addr(b.addr))
		return ok && p.Place == here && p.Server != nil
	})
}

// TestUnreachableBackend guards against calls that wait for a backend server that is down, and against not
// using it after it is back.
func TestUnreachableBackend(t *testing.T) {
	is := is.New(t)
	_, a, b := twoNodes(t)
	addr := a.backend.addr
	is.NoErr(a.backend.server.Close())
	for range 3 {
		is.Equal(string(a.call(t.Context(), "/s/buy/").Body), "ok "+b.backend.id)
	}
	is.True(a.slots.Status().Closed)
	server := &http.Server{Addr: addr, Handler: a.backend, ReadHeaderTimeout: time.Second}
	go func() {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { _ = server.Close() })
	eventually(t, "requests again", func() bool { return !a.slots.Status().Closed })
}

// TestHedge guards against callers that wait for one slow server, and against a second attempt at that same
// server.
func TestHedge(t *testing.T) {
	is := is.New(t)
	_, a, b := twoNodes(t)
	for range 50 { // lowers the average latency
		is.Equal(a.call(t.Context(), "/s/get/").Refusal, nil)
	}
	before := a.backend.total.Load()
	a.backend.set(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })
	began := time.Now()
	ans := a.call(t.Context(), "/s/get/")
	is.Equal(string(ans.Body), "ok "+b.backend.id)
	is.True(time.Since(began) < 800*time.Millisecond)
	is.Equal(a.backend.total.Load()-before, int32(1))
	is.Equal(b.backend.total.Load(), int32(1))
	before = a.backend.total.Load()
	is.Equal(a.call(t.Context(), "/s/buy/").Refusal, nil) // not idempotent, so not repeated
	is.Equal(a.backend.total.Load()-before+b.backend.total.Load(), int32(2))
}

// TestCrashingRequest guards against daemons that send a request to all backend servers although it crashes
// each of them, and against other requests being refused with it.
func TestCrashingRequest(t *testing.T) {
	is := is.New(t)
	r := newTestCluster(t)
	r.configure(1, "s")
	var crashed atomic.Int32
	for _, place := range []ident.Place{here, near, near, near} {
		n := r.add(place, "s")
		n.backend.set(func(w http.ResponseWriter, q *http.Request) {
			if strings.HasSuffix(q.URL.Path, "/crash") {
				crashed.Add(1)
				// Like a process exit: closes the port and resets all connections.
				_ = n.backend.server.Close()
			}
		})
		eventually(t, "configuration", n.Ready)
		n.heartbeat(Ready)
	}
	for _, n := range r.nodes {
		n.waitForServers(t, "s", 4)
	}
	for i := range 20 {
		at := r.nodes[i%4]
		ans := at.call(t.Context(), "/s/get/crash")
		is.True(ans.Refusal != nil)
		if i > 4 {
			is.Equal(ans.Refusal.Reason, refuse.Poisoned)
			is.Equal(ans.Refusal.Ran, refuse.RanNo)
		}
		time.Sleep(20 * time.Millisecond) // lets the suspects reach the other daemons
	}
	is.True(crashed.Load() <= 3)
	is.Equal(r.nodes[0].call(t.Context(), "/s/get/other").Refusal, nil)
}
