package mesh

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// TestWaitsFitInForce guards against waits that together exceed the bound of a configuration, and against relays that
// read the store because an answer is a little late.
func TestWaitsFitInForce(t *testing.T) {
	for name, inForce := range map[string]time.Duration{"small site": 2500 * time.Millisecond, "large site": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			cfg := DefaultConfig()
			cfg.InForce = inForce
			second := cfg.maxStateAge(syncPlan{tier: relay, second: true}, true)
			steps := []struct {
				name string
				wait time.Duration
				rest time.Duration // least time until the next step
			}{
				{"watch", cfg.WatchWait(), 300 * time.Millisecond}, // a slow store takes 0.2 s, a VM may stop for 0.1 s
				{"lag", cfg.inForceShare(lagShare), 200 * time.Millisecond},
				{"first relay", cfg.maxStateAge(syncPlan{tier: relay}, true), 250 * time.Millisecond},
				{"second relay", second, 150 * time.Millisecond},
				{"follower", cfg.maxStateAge(syncPlan{}, false), 200 * time.Millisecond},
				{"follower with parents", cfg.maxStateAge(syncPlan{}, true), 500 * time.Millisecond}, // a read of the store
				{"bound", inForce, 0},
			}
			for i, s := range steps[:len(steps)-1] {
				if next := steps[i+1]; s.wait+s.rest > next.wait {
					t.Errorf("%s %v, %s %v: want %v between", s.name, s.wait, next.name, next.wait, s.rest)
				}
			}
			if 2*cfg.confirmInterval() <= cfg.WatchWait() {
				t.Errorf("confirmed every %v, watch of %v: more than one confirmation between two watches", cfg.confirmInterval(), cfg.WatchWait())
			}
		})
	}
}

// TestSilentRootsAndRelays guards against a configuration that is late because the store also does not answer the
// first relay of each data centre, so that further daemons have to notice it.
func TestSilentRootsAndRelays(t *testing.T) {
	for i := range 6 {
		phase := time.Duration(i) * 150 * time.Millisecond
		t.Run(phase.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSyncFleet(t, 4, 3)
				var silenced atomic.Pointer[map[*syncNode]bool]
				silenced.Store(&map[*syncNode]bool{})
				f.startAllWith(func(n *syncNode, d store.Driver) store.Driver {
					return silentDriver(d, n, func(n *syncNode) bool { return (*silenced.Load())[n] })
				})
				defer f.stopAll()
				time.Sleep(phase)
				cut := map[*syncNode]bool{}
				for _, n := range f.nodes {
					if p := n.syncPlan(); p.tier == root || (p.tier == relay && !p.second) {
						cut[n] = true
					}
				}
				silenced.Store(&cut)
				f.accept(2)
				time.Sleep(inForceBound)
				for _, n := range f.nodes {
					if !cut[n] && n.Version() < 2 {
						t.Errorf("%s, tier %d: version %d", n.addr, n.syncPlan().tier, n.Version())
					}
				}
			})
		})
	}
}

// TestSlowStoreInCalm guards against daemons that read the store themselves because the store answers slowly and VMs
// stop for a moment, as those with a quota do: calls would grow with the fleet.
func TestSlowStoreInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency, stop = 200 * time.Millisecond, 100 * time.Millisecond
		f := newSyncFleet(t, 4, 6)
		follows := map[*syncNode]*atomic.Int64{}
		for _, n := range f.nodes {
			follows[n] = &atomic.Int64{}
		}
		f.startAllWith(func(n *syncNode, d store.Driver) store.Driver {
			out := d
			out.Follow = func(ctx context.Context, prefix string, after store.Position, most time.Duration) ([]store.Change, store.Position, error) {
				follows[n].Add(1)
				time.Sleep(latency)
				return d.Follow(ctx, prefix, after, most)
			}
			return out
		})
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		roots := map[*syncNode]bool{}
		for _, n := range f.roots() {
			roots[n] = true
		}
		before := map[*syncNode]int64{}
		for _, n := range f.nodes {
			before[n] = follows[n].Load()
		}
		r := rand.New(rand.NewPCG(1, 0))
		f.accept(2) // the watches of both roots return at once, and wait side by side from then on
		for end := time.Now().Add(time.Minute); time.Now().Before(end); {
			n := f.nodes[r.IntN(len(f.nodes))]
			f.net.Pause(n.addr, true)
			time.Sleep(stop)
			f.net.Pause(n.addr, false)
		}
		for _, n := range f.nodes {
			if sent := follows[n].Load() - before[n]; sent > 0 && !roots[n] {
				t.Errorf("%s, tier %d: %d reads of the store in a minute", n.addr, n.syncPlan().tier, sent)
			}
		}
	})
}
