package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
	"github.com/marjoramcroft/marjoramcroft/table"
)

// memoryCluster is a cluster on a network in memory, which works in virtual time.
type memoryCluster struct {
	t       *testing.T
	net     *emul.Network
	store   *emul.Store
	entry   *testNode // without a backend server
	servers []*testNode
	retries retry.SharedBudgetLimits
}

// connListener is a listener for connections that are handed to it.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l connListener) Close() error {
	close(l.done)
	return nil
}

func (l connListener) Addr() net.Addr { return &net.TCPAddr{} }

// newMemoryCluster starts an entry, and daemons with a backend server each, which works for the given time.
func newMemoryCluster(t *testing.T, servers, attempts int, retries retry.SharedBudgetLimits, work time.Duration) *memoryCluster {
	is := is.New(t)
	c := &memoryCluster{t: t, net: emul.NewNetwork(), store: emul.NewStore(emul.DefaultStoreConfig()), retries: retries}
	spec := table.Spec{Version: 1, Services: []table.Service{{ID: "s"}}, Routes: []table.Route{{
		ID: "get", Host: "h", Prefix: "/s/", Idempotent: true, Parts: []table.WeightedService{{Service: "s", Weight: 1}},
		Timeout: 10 * time.Second, Goal: time.Second, Attempts: attempts,
	}, {
		ID: "long", Host: "h", Prefix: "/long/", Parts: []table.WeightedService{{Service: "s", Weight: 1}},
		Timeout: time.Minute, Goal: time.Minute, Attempts: 1,
	}}}
	b, err := json.Marshal(spec)
	is.NoErr(err)
	_, err = c.store.Driver().Swap(t.Context(), testKeys.Config, 0, b, 0)
	is.NoErr(err)
	c.entry = c.start("10.0.0.1:7000")
	for i := range servers {
		n := c.start(ident.Addr(fmt.Sprintf("10.0.1.%d:7000", i)))
		n.service = "s"
		n.backend = &testBackend{id: fmt.Sprint("i", i), addr: fmt.Sprintf("10.1.1.%d:80", i)}
		n.backend.set(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(work)
			_, _ = io.WriteString(w, "done")
		})
		n.backend.server = &http.Server{Handler: n.backend}
		ln := connListener{make(chan net.Conn, 10), make(chan struct{})}
		c.net.Listen(ident.Addr(n.backend.addr), here, func(nc net.Conn) { ln.conns <- nc })
		go func() { _ = n.backend.server.Serve(ln) }()
		t.Cleanup(func() { _ = n.backend.server.Close() })
		n.heartbeat(Ready)
		c.servers = append(c.servers, n)
	}
	time.Sleep(3 * time.Second)
	return c
}

func (c *memoryCluster) start(addr ident.Addr) *testNode {
	set := stats.New()
	cfg := DefaultConfig()
	cfg.Retries = c.retries
	sc := store.DefaultConfig()
	sc.Budgets, sc.Attempts, sc.WatchPeriod = nil, 1, cfg.WatchWait()+600*time.Millisecond
	n := &testNode{addr: string(addr), place: here}
	n.Node = New(Deps{
		Self: addr, Place: here, Caller: func() ident.ServiceID { return "s" }, Config: cfg, Names: testNames, Keys: testKeys,
		Decode: decodeSpec, Log: event.Discard(), Stats: set, Random: rand.Float64,
		Dial: func(ctx context.Context, _, to string) (net.Conn, error) {
			return c.net.Dial(ctx, addr, ident.Addr(to))
		},
		Store: store.New(store.Deps{
			Driver: c.store.Driver(), Config: sc, Stats: set, Log: event.Discard(), Rand: rand.Float64,
		}),
	})
	c.net.Listen(addr, here, func(nc net.Conn) { go n.serveLink(link.New(nc, n.handlers())) })
	n.Start()
	c.t.Cleanup(func() {
		c.net.Kill(addr)
		n.stop()
		n.closeLinks()
		n.wg.Wait()
	})
	return n
}

// call sends a call with a deadline of 5 s through the entry.
func (c *memoryCluster) call() *Answer {
	now := time.Now()
	return c.entry.Serve(c.t.Context(), &Call{
		ID: fmt.Sprint(rand.Uint64()), Method: "GET", URI: "/s/1", Path: "/s/1", Host: "h", Header: http.Header{},
		Arrived: now, Deadline: now.Add(5 * time.Second),
	})
}

// TestSilentDaemonAnswers guards against a call that is given up, and ends as unknown, since the daemon beside the
// backend server was silent for a while, although the call runs there and nothing else is tried.
func TestSilentDaemonAnswers(t *testing.T) {
	const silence = 1600 * time.Millisecond
	ample := retry.SharedBudgetLimits{Ratio: 1, Slack: 1000, Window: 10 * time.Second}
	tests := map[string]struct {
		servers, attempts int
		retries           retry.SharedBudgetLimits
		silence           time.Duration
		status            int // zero: refused as unknown
		least, most       time.Duration
		runs              int32
	}{
		"one attempt allowed":        {2, 1, ample, silence, 200, silence, silence + 200*time.Millisecond, 1},
		"no retry left":              {2, 2, retry.SharedBudgetLimits{Window: time.Second}, silence, 200, silence, silence + 200*time.Millisecond, 1},
		"no other server":            {1, 2, ample, silence, 200, silence, silence + 200*time.Millisecond, 1},
		"another server, a retry":    {2, 2, ample, time.Minute, 200, 60 * time.Millisecond, 2 * time.Second, 2},
		"silent beyond the deadline": {1, 2, ample, time.Minute, 0, 4900 * time.Millisecond, 5200 * time.Millisecond, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newMemoryCluster(t, tt.servers, tt.attempts, tt.retries, 300*time.Millisecond)
				began := time.Now()
				time.AfterFunc(100*time.Millisecond, func() {
					for _, n := range c.servers {
						if n.backend.total.Load() > 0 {
							c.net.Pause(ident.Addr(n.addr), true)
							time.AfterFunc(tt.silence, func() { c.net.Pause(ident.Addr(n.addr), false) })
						}
					}
				})
				a := c.call()
				took := time.Since(began)
				if tt.status == 0 {
					is.True(a.Refusal != nil)
					is.Equal(a.Refusal.Ran, refuse.RanUnknown)
				} else {
					is.Equal(a.Refusal, nil)
					is.Equal(a.Status, tt.status)
				}
				if took < tt.least || took > tt.most {
					t.Errorf("answered after %s, want %s to %s", took, tt.least, tt.most)
				}
				runs := int32(0)
				for _, n := range c.servers {
					runs += n.backend.total.Load()
					c.net.Pause(ident.Addr(n.addr), false)
				}
				is.Equal(runs, tt.runs)
			})
		})
	}
}

// TestLongCallOverSilentLink guards against a link that is closed with a call on it, for which the backend server still
// works, because it was silent once and another one has replaced it.
func TestLongCallOverSilentLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newMemoryCluster(t, 1, 1, retry.SharedBudgetLimits{}, 20*time.Second)
		answer := make(chan *Answer, 1)
		go func() {
			answer <- c.entry.Serve(t.Context(), &Call{ID: "1", Method: "GET", URI: "/long/1", Path: "/long/1", Host: "h", Arrived: time.Now()})
		}()
		time.Sleep(time.Second)
		c.net.Pause(ident.Addr(c.servers[0].addr), true)
		time.Sleep(2 * time.Second)
		c.net.Pause(ident.Addr(c.servers[0].addr), false)
		_ = c.call() // opens another link
		a := <-answer
		time.Sleep(20 * time.Second) // the backend server works on
		is.Equal(a.Refusal, nil)
		is.Equal(a.Status, 200)
	})
}
