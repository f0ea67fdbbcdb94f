package proxy

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// mixedLoad returns a load of all kinds of calls, some of which crash their backend server.
func mixedLoad(g *rig) emul.LoadConfig {
	cfg := emul.DefaultLoad()
	cfg.Entries, cfg.Dial = []ident.Addr{"entry", "d0", "d1", "d2"}, g.net.Dial
	cfg.Repeat = 0.5
	cfg.Mix = append(cfg.Mix,
		emul.LoadKind{Member: "office", Weight: 1, Method: http.MethodGet, Path: "/once?size=9000", Once: true},
		emul.LoadKind{Member: "office", Weight: 1, Method: http.MethodPost, Path: "/once", Body: 2 * MaxReplay, Once: true},
		emul.LoadKind{Member: "office", Weight: 0.1, Method: http.MethodPost, Path: "/long", Long: true, Once: true},
		emul.LoadKind{Member: "office", Weight: 0.05, Method: http.MethodPost, Path: "/?crash=after", Once: true, Keyed: true},
	)
	return cfg
}

// TestLoadReportsRanCorrectly guards against wrong reports of whether a call ran, under load
// above the slots with crashes, lost connections and repeats of keys.
func TestLoadReportsRanCorrectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 3, func(c *emul.BackendConfig) { c.Slots = 4 })
		defer g.close()
		g.hedge = 20 * time.Millisecond
		cfg := mixedLoad(g)
		cfg.Rate, cfg.For = 400, 5*time.Second
		l := emul.NewLoad(cfg)
		go func() {
			for range 10 {
				time.Sleep(500 * time.Millisecond)
				g.net.CloseConnections()
			}
		}()
		r, err := l.Run(t.Context())
		is.NoErr(err)
		time.Sleep(time.Minute)
		for _, v := range l.Check(emul.TotalRuns(g.backends...)) {
			t.Error(v)
		}
		is.True(r.Answers[http.StatusOK] > 0)
		is.True(len(r.Refusals) > 0)
		is.True(r.Broken > 0)
		is.Equal(g.unitsInUse(), 0)
	})
}

// TestLoopbackReportsRanCorrectly guards against wrong reports of whether a call ran that only
// occur over TCP: writes that succeed although the peer has gone, and resets.
func TestLoopbackReportsRanCorrectly(t *testing.T) {
	is := is.New(t)
	network := emul.NewLoopback()
	g := newRigOn(network, t, 3, func(c *emul.BackendConfig) { c.Slots = 6 })
	defer g.close()
	g.hedge = 10 * time.Millisecond
	cfg := mixedLoad(g)
	cfg.Rate, cfg.For = 600, 1500*time.Millisecond
	l := emul.NewLoad(cfg)
	var faults sync.WaitGroup
	faults.Go(func() {
		for i := range 14 {
			time.Sleep(100 * time.Millisecond)
			if i%2 == 0 {
				network.CloseConnections()
			} else {
				g.backends[i%3].Crash()
			}
		}
	})
	r, err := l.Run(t.Context())
	is.NoErr(err)
	faults.Wait()
	is.NoErr(g.entry.Stop(t.Context()))
	for _, tg := range g.targets {
		is.NoErr(tg.Stop(t.Context())) // all calls have ended
	}
	for _, v := range l.Check(emul.TotalRuns(g.backends...)) {
		t.Error(v)
	}
	is.True(r.Answers[http.StatusOK] > 0)
	is.True(r.Broken+len(r.Refusals) > 0)
	is.Equal(g.unitsInUse(), 0)
}
