package emul

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// startBackend starts a Backend on loopback and returns it with a function that lists the states
// that it has announced.
func startBackend(t *testing.T, cfg BackendConfig) (*Backend, func() []BackendState) {
	var mu sync.Mutex
	var states []BackendState
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil || r.URL.Path != AnnouncePath {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if len(states) == 0 || states[len(states)-1] != a.State {
			states = append(states, a.State)
		}
	}))
	cfg.Announce = ident.Addr(daemon.Listener.Addr().String())
	b := NewBackend(cfg)
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = b.Close()
		daemon.Close()
	})
	return b, func() []BackendState {
		mu.Lock()
		defer mu.Unlock()
		return append([]BackendState(nil), states...)
	}
}

type answer struct {
	status int
	shed   string
	body   string
}

func get(ctx context.Context, b *Backend, path, id string) (got answer, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(b.Addr())+path, nil)
	if err != nil {
		return got, err
	}
	req.Header.Set(HeaderRequest, id)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return got, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get(headerShed), string(body)}, err
}

// waitUntil waits until another goroutine has made the condition true, for about 5 s.
func waitUntil(t *testing.T, ok func() bool) {
	for range 5000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not met")
}

func TestBackendCrashes(t *testing.T) {
	tests := map[string]struct {
		mark        string
		runs, dones int
	}{
		"before the run is counted as no run":       {CrashBefore, 0, 0},
		"after the run is counted as a run":         {CrashAfter, 1, 1},
		"in the response breaks it visibly":         {CrashMid, 1, 1},
		"in a response of unknown length breaks it": {CrashMid + "&chunked=1", 1, 1},
		"in a large response does not end it early": {CrashMid + "&size=1000000", 1, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, _ := startBackend(t, BackendConfig{Restart: time.Millisecond})
			addr := b.Addr()
			_, err := get(t.Context(), b, "/?size=3000&crash="+tt.mark, "r")
			is.True(err != nil) // no complete response
			is.Equal(b.Runs("r"), tt.runs)
			is.Equal(b.Completions("r"), tt.dones)
			waitUntil(t, func() bool {
				got, err := get(t.Context(), b, "/", "s")
				return err == nil && got.body == "s\n"
			})
			is.Equal(b.Addr(), addr)       // restarts at its address
			is.Equal(b.Runs("r"), tt.runs) // counts survive the crash
		})
	}
}

// TestBackendSheds guards against shed calls that run, and against shed calls without the header
// that marks them.
func TestBackendSheds(t *testing.T) {
	is := is.New(t)
	b, _ := startBackend(t, BackendConfig{Slots: 1})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = get(ctx, b, "/?time=1h", "slow") }()
	waitUntil(t, func() bool { return b.Running() == 1 })
	got, err := get(t.Context(), b, "/", "r")
	is.NoErr(err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.shed, "not-run")
	is.Equal(b.Runs("r"), 0)
	is.Equal(b.Sheds(), 1)
	cancel()
	waitUntil(t, func() bool { return b.Running() == 0 }) // a cancelled call frees its slot
	is.Equal(b.Completions("slow"), 0)
}

// TestBackendConnectionLimit guards against accepting connections above the announced limit, which
// would hide a connection pool that is too large.
func TestBackendConnectionLimit(t *testing.T) {
	is := is.New(t)
	b, _ := startBackend(t, BackendConfig{Conns: 1})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = get(ctx, b, "/?time=1h", "slow") }()
	waitUntil(t, func() bool { return b.Running() == 1 })
	_, err := get(t.Context(), b, "/", "r")
	is.True(err != nil)
	is.Equal(b.Runs("r"), 0)
}

// TestBackendDrain guards against a drain that aborts calls or is announced too late.
func TestBackendDrain(t *testing.T) {
	is := is.New(t)
	b, states := startBackend(t, BackendConfig{})
	waitUntil(t, func() bool { return len(states()) == 1 })
	bodies := make(chan string, 1)
	go func() {
		got, _ := get(t.Context(), b, "/?time=100ms", "r")
		bodies <- got.body
	}()
	waitUntil(t, func() bool { return b.Running() == 1 })
	is.NoErr(b.Drain(t.Context()))
	is.Equal(<-bodies, "r\n")
	is.Equal(states(), []BackendState{BackendReady, BackendDraining, BackendGone})
	_, err := get(t.Context(), b, "/", "s")
	is.True(err != nil)
}

// serveCall runs a request without a network and returns its duration in virtual time.
func serveCall(b *Backend, path string) time.Duration {
	start := time.Now()
	b.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, strings.NewReader("")))
	return time.Since(start)
}

func TestBackendServiceTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := NewBackend(BackendConfig{Seed: 7})
		b := NewBackend(BackendConfig{Seed: 7})
		for range 20 {
			is.Equal(serveCall(a, "/"), serveCall(b, "/")) // the same seed gives the same times
		}
		is.True(serveCall(a, "/long/x") >= a.cfg.LongTime/2) // long service times below LongPath
		a.Slow(10, time.Second)
		is.Equal(serveCall(a, "/?time=50ms"), 500*time.Millisecond)
		time.Sleep(time.Second)
		is.Equal(serveCall(a, "/?time=50ms"), 50*time.Millisecond) // the slowdown ends
	})
}

// TestBackendColdStart guards against a backend server that runs at full speed right after a start.
func TestBackendColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBackend(BackendConfig{StartTime: time.Second, ColdTime: 10 * time.Second, ColdFactor: 4, Listen: listenIdle})
		is.NoErr(b.Start())
		is.Equal(b.State(), BackendStarting)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(b.State(), BackendReady)
		is.Equal(serveCall(b, "/?time=10ms"), 40*time.Millisecond)
		time.Sleep(10 * time.Second)
		is.Equal(serveCall(b, "/?time=10ms"), 10*time.Millisecond)
		is.NoErr(b.Close())
	})
}

// TestBackendLoadReports guards against load reports that are current or accurate although a delay
// and a factor are configured, which would be better than those of real backend servers.
func TestBackendLoadReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBackend(BackendConfig{LoadDelay: time.Second, LoadFactor: 2})
		go serveCall(b, "/?time=2s")
		time.Sleep(500 * time.Millisecond)
		is.Equal(b.Load().Running, 0) // delayed
		time.Sleep(time.Second)
		is.Equal(b.Load().Running, 2) // misleading
		time.Sleep(1400 * time.Millisecond)
		is.Equal(b.Load().Running, 2) // delayed
		time.Sleep(time.Second)
		is.Equal(b.Load().Running, 0)
	})
}

// TestBackendAnnouncesIncarnation guards against processes of a backend server that a daemon cannot
// distinguish.
func TestBackendAnnouncesIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := NewNet()
		b := NewBackend(BackendConfig{Addr: "b", Restart: time.Nanosecond, Listen: n.Listen, Dial: n.Dial})
		is.NoErr(b.Start())
		first := b.Announcement().Incarnation
		is.True(first > 0)
		b.Crash()
		is.Equal(b.Announcement().Incarnation, first) // until the next process starts
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		is.True(b.Announcement().Incarnation > first)
		is.NoErr(b.Close())
		anonymous := NewBackend(BackendConfig{Addr: "c", Anonymous: true, Listen: n.Listen, Dial: n.Dial})
		is.NoErr(anonymous.Start())
		is.Equal(anonymous.Announcement().Incarnation, ident.Incarnation(0))
		is.NoErr(anonymous.Close())
	})
}
