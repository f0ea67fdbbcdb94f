package mesh

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/store"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// entriesBackBound is the time after the store's return in which the entries that it lost have to be back.
const entriesBackBound = 2 * time.Second

// restore takes the store away for two seconds and brings it back from c. meanwhile is called as soon as the store is
// back, before a daemon has noticed it.
func (f *syncFleet) restore(c *emul.Copy, meanwhile func()) {
	f.store.SetOutage(emul.Rejecting)
	time.Sleep(2 * time.Second)
	f.store.Restore(c)
	f.store.SetOutage(emul.NoOutage)
	if meanwhile != nil {
		meanwhile()
	}
}

// entry returns the peer whose entry the store holds for n; false if there is none.
func (f *syncFleet) entry(n *syncNode) (Peer, bool) {
	v := f.store.Peek(testKeys.Peers + string(n.addr))
	if v.Revision == 0 {
		return Peer{}, false
	}
	var p Peer
	if err := wire.Decode(v.Data, &p); err != nil {
		f.t.Fatal(err)
	}
	return p, true
}

// requireEntries fails the test if the store does not hold the current state of each daemon.
func (f *syncFleet) requireEntries() {
	f.t.Helper()
	for _, n := range f.nodes {
		if !n.up.Load() {
			continue
		}
		p, ok := f.entry(n)
		if self := n.self(); !ok || p.Life != self.Life || p.Seq != self.Seq {
			f.t.Errorf("entry of %s: present %v, life %d, seq %d; want life %d, seq %d", n.addr, ok, p.Life, p.Seq, self.Life, self.Seq)
		}
	}
}

// requireKnown fails the test if a daemon knows another state of n than its current one, as a server or not.
func (f *syncFleet) requireKnown(n *syncNode, serving bool) {
	f.t.Helper()
	for _, m := range f.nodes {
		if !m.up.Load() || m == n {
			continue
		}
		p, ok := m.peers.get(n.addr)
		if got := ok && p.serves("s") && (!serving || p.Life == n.self().Life); got != serving {
			f.t.Errorf("%s, tier %d: %s serves %v, want %v (known %v, life %d)", m.addr, m.syncPlan().tier, n.addr, got, serving, ok, p.Life)
		}
	}
}

// quiet returns a daemon that no other follows, so that its loss changes nothing but its own entry.
func (f *syncFleet) quiet() *syncNode {
	f.t.Helper()
	for _, n := range f.nodes {
		if n.up.Load() && n.syncPlan().tier == follower {
			return n
		}
	}
	f.t.Fatal("all daemons are roots or relays")
	return nil
}

// stop ends the process of n gracefully: its entry is removed from the store.
func (f *syncFleet) stop(n *syncNode) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n.Drain(ctx)
	n.up.Store(false)
	n.Close(ctx)
	f.net.Kill(n.addr)
}

// TestStoreRestored guards against daemons that order what they read by the store's revision alone. When the store
// comes back from a copy, its revisions start again at that of the copy, so that new changes look like old ones.
func TestStoreRestored(t *testing.T) {
	tests := map[string]func(f *syncFleet){
		"next configuration": func(f *syncFleet) {
			c := f.store.Copy()
			f.acceptUpTo(2, 9)
			f.restore(c, nil)
			time.Sleep(inForceBound)
			f.accept(10)
			time.Sleep(inForceBound)
			f.requireInForce(10)
		},
		"configuration before the readers are back": func(f *syncFleet) {
			c := f.store.Copy()
			f.acceptUpTo(2, 4)
			f.restore(c, func() {
				f.accept(5)
				f.passRevision(200)
			})
			time.Sleep(inForceBound)
			f.requireInForce(5)
		},
		"entries of daemons that started since the copy": func(f *syncFleet) {
			n := f.quiet()
			f.kill(n)
			time.Sleep(15 * time.Second) // its entry ends with its lease
			c := f.store.Copy()
			f.start(n)
			time.Sleep(3 * time.Second)
			f.requireKnown(n, true)
			f.acceptUpTo(2, 9)
			f.restore(c, nil)
			time.Sleep(entriesBackBound)
			f.requireEntries()
			time.Sleep(2 * time.Second)
			f.requireKnown(n, true)
		},
		"entries although the store has passed the old revision": func(f *syncFleet) {
			n := f.quiet()
			f.kill(n)
			time.Sleep(15 * time.Second)
			c := f.store.Copy()
			f.start(n)
			time.Sleep(3 * time.Second)
			f.restore(c, func() { f.passRevision(200) })
			time.Sleep(entriesBackBound)
			f.requireEntries()
		},
		"daemon restarted after the store": func(f *syncFleet) {
			n := f.quiet()
			c := f.store.Copy()
			f.acceptUpTo(2, 30)
			f.stop(n)
			time.Sleep(2 * time.Second)
			f.restore(c, nil)
			time.Sleep(inForceBound)
			f.start(n)
			time.Sleep(4 * time.Second)
			f.requireEntries()
			f.requireKnown(n, true)
		},
		"daemon lost after the store": func(f *syncFleet) {
			n := f.quiet()
			f.kill(n)
			time.Sleep(15 * time.Second)
			c := f.store.Copy()
			f.start(n)
			f.acceptUpTo(2, 60)
			time.Sleep(3 * time.Second)
			f.requireKnown(n, true)
			f.restore(c, func() { f.kill(n) })
			time.Sleep(inForceBound + missingTime)
			f.requireKnown(n, false)
		},
		"daemon that left since the copy": func(f *syncFleet) {
			n := f.quiet()
			c := f.store.Copy()
			f.stop(n)
			time.Sleep(missingTime + 2*time.Second)
			f.requireKnown(n, false)
			f.restore(c, nil)
			time.Sleep(inForceBound)
			f.requireKnown(n, false)
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSyncFleet(t, 4, 6)
				f.startAll()
				defer f.stopAll()
				run(f)
			})
		})
	}
}

// acceptUpTo accepts the versions from from to to.
func (f *syncFleet) acceptUpTo(from, to int) {
	for v := from; v <= to; v++ {
		f.accept(v)
	}
}

// passRevision makes changes of other keys until the store's revision is above r.
func (f *syncFleet) passRevision(r int64) {
	for f.store.Revision() <= r {
		if _, err := f.store.Driver().Swap(context.Background(), "other", f.store.Peek("other").Revision, []byte("x"), 0); err != nil {
			f.t.Fatal(err)
		}
	}
}

// TestFirstEraZero guards against a restore that is taken for the first sight of the store's era, because the store
// counts from 0: entries then come back only with the next renewal, under a lease of the time before.
func TestFirstEraZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t, 4, 6)
		f.startAllWith(func(_ *syncNode, d store.Driver) store.Driver { return countingFromZero(d) })
		defer f.stopAll()
		n := f.quiet()
		f.kill(n)
		time.Sleep(15 * time.Second)
		c := f.store.Copy()
		f.startWith(n, countingFromZero(f.driver(n)))
		time.Sleep(3 * time.Second)
		f.restore(c, nil)
		time.Sleep(entriesBackBound)
		f.requireEntries()
	})
}

// TestRestoreDuringBatchDelay guards against a configuration that is late because the roots were waiting for further
// changes while the store was restored: their next watch waits in the new era, from a revision of the last one.
func TestRestoreDuringBatchDelay(t *testing.T) {
	for i := range 10 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSyncFleet(t, 4, 3)
				f.startAllWith(func(_ *syncNode, d store.Driver) store.Driver { return f.asOverHTTP(d) })
				defer f.stopAll()
				time.Sleep(time.Duration(i) * 400 * time.Millisecond)
				c := f.store.Copy()
				f.passRevision(60)
				f.accept(2)
				time.Sleep(100 * time.Millisecond)
				f.store.SetOutage(emul.Rejecting)
				time.Sleep(200 * time.Millisecond)
				f.store.Restore(c)
				f.store.SetOutage(emul.NoOutage)
				f.accept(3)
				f.passRevision(100)
				began := time.Now()
				for len(f.behind(3)) > 0 && time.Since(began) < 20*time.Second {
					time.Sleep(20 * time.Millisecond)
				}
				if took := time.Since(began); took > inForceBound {
					t.Errorf("in force after %s", took)
				} else {
					t.Logf("in force after %s", took)
				}
				time.Sleep(max(0, entriesBackBound-time.Since(began)))
				f.requireEntries()
			})
		})
	}
}
