package mesh

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

var (
	here = ident.Place{Region: "r", DataCentre: "a"}
	near = ident.Place{Region: "r", DataCentre: "b"}
)

// two returns a rig with two daemons that know each other's servers of service s.
func two(t *testing.T) (*rig, *rigNode, *rigNode) {
	t.Helper()
	r := newRig(t)
	r.configure(1, "s")
	a, b := r.add(here, "s"), r.add(near, "s")
	for _, n := range []*rigNode{a, b} {
		eventually(t, "configuration", n.Ready)
		n.beat(Ready)
	}
	a.sees(t, "s", 2)
	b.sees(t, "s", 2)
	return r, a, b
}

// TestCallReachesABackend guards against calls that are answered by nobody, or sent away although the near
// server is free.
func TestCallReachesABackend(t *testing.T) {
	is := is.New(t)
	_, a, b := two(t)
	ans := a.call(t.Context(), "/s/get/1")
	is.Equal(ans.Refusal, nil)
	is.Equal(string(ans.Body), "ok "+a.backend.id)
	is.Equal(b.backend.total.Load(), int32(0))
	ans = a.call(t.Context(), "/nothing/")
	is.Equal(ans.Refusal.Reason, refuse.NoRoute)
}

// TestFailures guards against repeats of what may not be repeated, and against a refusal as not run of a request
// that may have run.
func TestFailures(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	tests := map[string]struct {
		path  string
		do    func(http.ResponseWriter, *http.Request)
		other func(http.ResponseWriter, *http.Request) // at the second server; nil: 200
		want  int                                      // status; zero: refused
		ran   refuse.Ran
		runs  int32 // at both servers
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
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, a, b := two(t)
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

// TestDraining guards against requests at a backend server after the acknowledgement that it leaves, also
// those that wait, and against a late heartbeat that takes the word back.
func TestDraining(t *testing.T) {
	is := is.New(t)
	_, a, b := two(t)
	hold := make(chan struct{})
	a.backend.set(func(w http.ResponseWriter, _ *http.Request) { <-hold })
	var wg sync.WaitGroup
	for range 6 { // four run, two wait
		wg.Go(func() { a.call(t.Context(), "/s/get/") })
	}
	eventually(t, "slots in use", func() bool { return a.backend.total.Load() == 4 })
	a.beat(Draining)
	ran := a.backend.total.Load()
	a.beat(Ready) // of an overtaken view; leaving is final
	close(hold)
	wg.Wait()
	b.sees(t, "s", 1)
	for range 5 {
		is.Equal(string(a.call(t.Context(), "/s/get/").Body), "ok "+b.backend.id)
	}
	is.Equal(a.backend.total.Load(), ran)
}

// TestHeartbeats guards against heartbeats of an earlier life that bring a former backend server back.
func TestHeartbeats(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	n := r.add(here, "s")
	beat := func(id string, born, seq int64, s State) {
		is.NoErr(n.Heard(Heartbeat{ID: id, Service: "s", Addr: n.backend.addr, Slots: 2, State: s, Seq: seq, Born: born}))
	}
	state := func() (string, State) {
		s := n.beside()
		return s.ID, s.State
	}
	beat("i-1", 100, 5, Ready)
	beat("i-1", 100, 4, Draining) // overtaken
	id, s := state()
	is.Equal(id+string(s), "i-1Ready")
	beat("i-2", 200, 1, Ready)
	beat("i-1", 100, 9, Ready) // delayed by a partition
	id, _ = state()
	is.Equal(id, "i-2")
	beat("i-2", 300, 1, Ready) // again under its id
	n.Left("i-2", 200)         // of the life before
	id, s = state()
	is.Equal(id+string(s), "i-2Ready")
	n.Left("i-2", 300)
	_, s = state()
	is.Equal(s, Gone)
	beat("i-2", 300, 2, Ready)
	_, s = state()
	is.True(s != Ready)
	is.True(n.Heard(Heartbeat{ID: "i-3", Service: "s", Addr: "x", Slots: 0, Seq: 1}) != nil)
}

// TestReplacedBackend guards against requests that run at a backend server that was not meant.
func TestReplacedBackend(t *testing.T) {
	is := is.New(t)
	_, a, b := two(t)
	a.backend.id = "i-other" // another process took the address without a word
	ans := a.call(t.Context(), "/s/buy/")
	is.Equal(ans.Refusal, nil)
	is.Equal(string(ans.Body), "ok "+b.backend.id)
	is.Equal(a.backend.total.Load(), int32(0))
}

// TestCallerLeaves guards against work for callers who have left.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	_, a, b := two(t)
	gone := make(chan struct{})
	wait := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(gone)
	}
	a.beat(Draining) // so that the call goes over a link
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

// TestStoreOutages guards against an outage of the store that stops calls, and against entries that do not come
// back after it.
func TestStoreOutages(t *testing.T) {
	tests := map[string]func(r *rig){
		"rejecting": func(r *rig) { r.store.SetOutage(emul.Rejecting) },
		"silent":    func(r *rig) { r.store.SetOutage(emul.Silent) },
	}
	for name, begin := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, a, b := two(t)
			is.Equal(a.call(t.Context(), "/s/get/").Refusal, nil)
			is.Equal(b.call(t.Context(), "/s/get/").Refusal, nil)
			begin(r)
			a.beat(Draining)
			eventually(t, "calls go on at the other server", func() bool {
				ans := a.call(t.Context(), "/s/get/")
				return ans.Refusal == nil && string(ans.Body) == "ok "+b.backend.id
			})
			r.store.AdvanceClock(time.Minute) // leases run out meanwhile
			r.store.SetOutage(emul.NoOutage)
			r.configure(2, "s", "u")
			back := time.Now()
			eventually(t, "new configuration", func() bool { return a.Version() == 2 && b.Version() == 2 })
			d := r.store.Driver()
			eventually(t, "entries are back", func() bool {
				list, err := d.List(t.Context(), rigKeys.Peers)
				return err == nil && len(list) == 2
			})
			is.True(time.Since(back) < 2*time.Second)
			b.sees(t, "s", 1)
		})
	}
}

// TestRevokedEntry guards against an entry that the store drops while its daemon lives.
func TestRevokedEntry(t *testing.T) {
	is := is.New(t)
	r, a, _ := two(t)
	d := r.store.Driver()
	key := rigKeys.Peers + a.addr
	before, err := d.Get(t.Context(), key)
	is.NoErr(err)
	is.NoErr(d.Delete(t.Context(), key, 0))
	eventually(t, "entry is written again", func() bool {
		v, err := d.Get(t.Context(), key)
		return err == nil && v.Revision > before.Revision
	})
}

// TestForeignEntries guards against an entry of another writer that makes a daemon lose the good ones.
func TestForeignEntries(t *testing.T) {
	is := is.New(t)
	r, a, b := two(t)
	d := r.store.Driver()
	for key, data := range map[string]string{"x": "\xff\xff", "10.0.0.1:1": "{}", "": "text"} {
		_, err := d.Swap(t.Context(), rigKeys.Peers+key, 0, []byte(data), 0)
		is.NoErr(err)
	}
	b.beat(Draining)
	a.sees(t, "s", 1)
}

// TestRestartWithoutStore guards against a daemon that starts while the store is away and serves nothing, although
// others know the configuration.
func TestRestartWithoutStore(t *testing.T) {
	is := is.New(t)
	r, a, b := two(t)
	a.backend.set(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	is.Equal(a.call(t.Context(), "/s/get/").Status, 200) // opens a link to b
	r.store.SetOutage(emul.Rejecting)
	b.kill()
	r.start(b)
	is.True(!b.Ready())
	eventually(t, "configuration from a peer", b.Ready)
	is.Equal(b.Version(), ident.Version(1))
	b.beat(Ready)
	eventually(t, "peers from a peer", func() bool {
		_, ok := b.roster.get(ident.Addr(a.addr))
		return ok
	})
}

// TestLostWrite guards against an entry that stays out of date because the answer to its write was lost, and
// against a late write that takes a later one back.
func TestLostWrite(t *testing.T) {
	tests := map[string]emul.Answer{"answer broken": emul.Broken, "answer missing": emul.Missing, "late": emul.Late}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, a, b := two(t)
			r.store.FailWrites(rigKeys.Peers+b.addr, 1, answer, 700*time.Millisecond)
			b.beat(Draining)
			eventually(t, "entry says draining", func() bool {
				values, _, err := r.store.Driver().Snapshot(t.Context(), rigKeys.Peers+b.addr)
				if err != nil || len(values) != 1 {
					return false
				}
				n := a.Node
				n.takeValue(values[0])
				p, ok := n.roster.get(ident.Addr(b.addr))
				return ok && p.Server.State == Draining
			})
			time.Sleep(time.Second)
			a.sees(t, "s", 1)
		})
	}
}

// TestNoReturnToAnOlderVersion guards against a configuration that a slow peer or a stale read brings back.
func TestNoReturnToAnOlderVersion(t *testing.T) {
	is := is.New(t)
	r, a, _ := two(t)
	old := a.raw
	r.configure(7, "s", "u")
	eventually(t, "version 7", func() bool { return a.Version() == 7 })
	a.adopt(old, "Peer", "test")
	is.Equal(a.Version(), ident.Version(7))
	a.adopt([]byte(`{"Version": 9, "Routes": [{"Host": "h"}]}`), "Store", "test") // invalid
	is.Equal(a.Version(), ident.Version(7))
}

// TestStop guards against requests that are sent to a daemon that is stopping, and against calls that its stop cuts.
func TestStop(t *testing.T) {
	is := is.New(t)
	_, a, b := two(t)
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
	a.sees(t, "s", 1)
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

// TestClockSetBack guards against a daemon that others take for its former life, since the clock was set back
// before it started again.
func TestClockSetBack(t *testing.T) {
	r, a, b := two(t)
	b.kill()
	b.place, b.behind = here, time.Hour
	r.start(b)
	b.beat(Ready)
	eventually(t, "the new life is known", func() bool {
		p, ok := a.roster.get(ident.Addr(b.addr))
		return ok && p.Place == here && p.Server != nil
	})
}

// TestUnreachableBackend guards against calls that wait for a backend server that is down, and against one that
// is not used after its return.
func TestUnreachableBackend(t *testing.T) {
	is := is.New(t)
	_, a, b := two(t)
	addr := a.backend.addr
	is.NoErr(a.backend.server.Close())
	for range 3 {
		is.Equal(string(a.call(t.Context(), "/s/buy/").Body), "ok "+b.backend.id)
	}
	is.True(a.slots.Level().Closed)
	server := &http.Server{Addr: addr, Handler: a.backend, ReadHeaderTimeout: time.Second}
	go func() {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { _ = server.Close() })
	eventually(t, "requests again", func() bool { return !a.slots.Level().Closed })
}
