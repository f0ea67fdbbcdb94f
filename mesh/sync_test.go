package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// TestStormOverNarrowLink guards against a region that falls behind while the configuration changes in quick
// succession: its readers each fetched the whole document over the link between the regions.
func TestStormOverNarrowLink(t *testing.T) {
	for name, size := range map[string][2]int{"today": {4, 3}, "more data centres": {8, 4}, "large": {8, 12}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSyncFleet(t, size[0], size[1])
				f.startAll()
				is.Equal(len(f.roots()), rootCount)
				for _, n := range f.roots() {
					is.Equal(n.place.Region, ident.Region("near"))
				}
				before, calls := f.crossed(), f.calls.Load()
				v := f.storm(1, nil)
				sent := f.crossed() - before
				if document := int64(len(testDocument(1))); sent > 4*document {
					t.Errorf("%d bytes crossed for 30 changes, more than four documents of %d", sent, document)
				}
				if n := (f.calls.Load() - calls) / 10; n > 60 {
					t.Errorf("%d calls to the store in a storm of 5 s", n)
				}
				time.Sleep(2 * time.Second)
				is.Equal(len(f.behind(v)), 0)
				f.stopAll()
			})
		})
	}
}

// TestStormWithoutRoots guards against versions that are late because the daemons that read the store are lost in
// the middle of a storm.
func TestStormWithoutRoots(t *testing.T) {
	tests := map[string]func(f *syncFleet, n *syncNode){
		"killed": func(f *syncFleet, n *syncNode) { f.kill(n) },
		"silent": func(f *syncFleet, n *syncNode) {
			n.up.Store(false)
			f.net.Pause(n.addr, true)
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSyncFleet(t, 4, 6)
				f.startAll()
				v := f.storm(1, func(i int) {
					if i == 8 {
						for _, n := range f.roots() {
							lose(f, n)
						}
					}
				})
				f.requireInForce(v)
				for _, n := range f.nodes {
					if !n.up.Load() {
						f.net.Pause(n.addr, false)
						n.up.Store(n.ctx.Err() == nil)
					}
				}
				f.stopAll()
			})
		})
	}
}

// TestRegionsApart guards against a region that keeps an old configuration after it was parted from the store for
// a minute, and against a burst of whole documents when the regions are joined.
func TestRegionsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSyncFleet(t, 4, 6)
		f.startAll()
		f.separate(true)
		time.Sleep(time.Second)
		f.accept(2)
		time.Sleep(time.Minute)
		is.Equal(len(f.behind(2)), len(f.nodes)/2)
		is.Equal(len(f.behind(1)), 0)
		before := f.crossed()
		f.separate(false)
		time.Sleep(5 * time.Second)
		f.requireInForce(2)
		sent := f.crossed() - before
		if sent > int64(farLinkBytes*5/2) {
			t.Errorf("%d bytes crossed in 5 s, more than half of the link", sent)
		}
		f.stopAll()
	})
}

// TestQuietFleetCalls guards against calls to the store that grow with the fleet: they are counted and billed.
func TestQuietFleetCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t, 4, 25)
		f.startAll()
		if n := f.calls.Load() / 10; n > 4*int64(len(f.nodes)) {
			t.Errorf("%d calls to start %d daemons", n, len(f.nodes))
		}
		before := f.calls.Load()
		time.Sleep(time.Minute)
		// A watch of each root returns at least every WatchWait, and a lease is renewed three times while it lasts.
		cfg := DefaultConfig()
		most := rootCount*float64(time.Minute/cfg.WatchWait()) + 0.3*float64(len(f.nodes))*float64(time.Minute)/float64(cfg.Lease)
		if n := float64(f.calls.Load()-before) / 10; n > 1.2*most+10 {
			t.Errorf("%.0f calls in a quiet minute, want at most %.0f", n, most)
		}
		f.stopAll()
	})
}

// TestEntriesReturn guards against entries that stay missing after the store lost them in an outage, and against
// entries that come back later than two seconds after it.
func TestEntriesReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSyncFleet(t, 4, 6)
		f.startAll()
		f.store.SetOutage(emul.Rejecting)
		time.Sleep(3 * time.Second)
		f.store.AdvanceClock(time.Minute) // all leases end
		f.store.SetOutage(emul.NoOutage)
		time.Sleep(2 * time.Second)
		for _, n := range f.nodes {
			v, err := f.store.Driver().Get(t.Context(), testKeys.Peers+string(n.addr))
			is.NoErr(err)
			if v.Revision == 0 {
				t.Errorf("the entry of %s is missing, tier %d, %+v", n.addr, n.syncPlan().tier, n.entry)
			}
		}
		f.stopAll()
	})
}

// TestHistoryLostInOutage guards against daemons that ask again and again for changes that the store has discarded
// while it was unavailable, and so stay behind.
func TestHistoryLostInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t, 4, 6)
		f.startAll()
		f.store.SetOutage(emul.Rejecting)
		time.Sleep(3 * time.Second)
		f.store.SetOutage(emul.NoOutage)
		for v := 2; v < 6; v++ {
			f.accept(v)
		}
		f.store.Compact()
		calls := f.calls.Load()
		time.Sleep(4 * time.Second)
		f.requireInForce(5)
		if n := (f.calls.Load() - calls) / 10; n > 4*int64(len(f.nodes)) {
			t.Errorf("%d calls to the store in 4 s", n)
		}
		f.stopAll()
	})
}

// TestRestartOfAll guards against daemons that are not ready soon after all of them were killed, and against a
// link that is filled with configurations by their restart.
func TestRestartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t, 8, 6)
		f.startAll()
		for _, n := range f.nodes {
			f.kill(n)
		}
		f.accept(2)
		before, answers := f.crossed(), f.farBytes.Load()
		time.Sleep(500 * time.Millisecond)
		for _, n := range f.nodes {
			f.start(n)
		}
		time.Sleep(3 * time.Second)
		f.requireInForce(2)
		sent := f.crossed() - before
		if sent > int64(farLinkBytes*3/2) {
			t.Errorf("%d bytes crossed in 3 s, more than half of the link; %d from the store", sent, f.farBytes.Load()-answers)
		}
		f.stopAll()
	})
}

// TestRestartOfAllOnSmallVMs guards against a restart of all daemons that takes seconds because the state that roots
// and relays send fills the links of their VMs, which also carry what they read from the store.
func TestRestartOfAllOnSmallVMs(t *testing.T) {
	const vmLinkBytes = 14e6 / 8 // a second
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t, 8, 24)
		f.linkBytes = 150e6 / 8
		f.startAll()
		for _, n := range f.nodes {
			f.kill(n)
		}
		time.Sleep(800 * time.Millisecond)
		before := map[ident.Addr]int64{}
		for _, n := range f.nodes {
			before[n.addr] = f.net.Bytes(n.addr)
			f.start(n)
		}
		time.Sleep(time.Second)
		f.requireInForce(1)
		for _, n := range f.nodes {
			if sent := f.net.Bytes(n.addr) - before[n.addr]; sent > vmLinkBytes/2 {
				t.Errorf("%s, tier %d: %d bytes in the first second, more than half of its link", n.addr, n.syncPlan().tier, sent)
			}
		}
		f.stopAll()
	})
}

// TestShortOutage guards against daemons that all read the whole state when the store is back, because their parents
// confirm their own state too late. Over a narrow link this takes longer than the bound of a configuration.
func TestShortOutage(t *testing.T) {
	for _, outage := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 4 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSyncFleet(t, 4, 6)
				f.startAll()
				defer f.stopAll()
				before := f.farBytes.Load()
				f.store.SetOutage(emul.Rejecting)
				time.Sleep(outage)
				f.store.SetOutage(emul.NoOutage)
				time.Sleep(4 * time.Second)
				if sent, document := f.farBytes.Load()-before, int64(len(testDocument(1))); sent > document/4 {
					t.Errorf("the store sent %d bytes to the other region, a document has %d", sent, document)
				}
			})
		})
	}
}

// TestShortOutageAfterOtherChanges guards against daemons that read the whole state after a short outage, because
// their own position does not move with changes of other keys and the store has discarded the history since it.
func TestShortOutageAfterOtherChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t, 4, 6)
		f.startAll()
		defer f.stopAll()
		for range 40 { // no change of the daemons' keys for two minutes
			f.passRevision(f.store.Revision() + 10)
			time.Sleep(3 * time.Second)
		}
		for _, n := range f.roots() {
			n.stateMu.Lock()
			t.Logf("root %s: position %s, store at %d", n.addr, n.asOf, f.store.Revision())
			n.stateMu.Unlock()
		}
		before := f.farBytes.Load()
		snapshots := f.store.Counts()["List"]
		f.store.SetOutage(emul.Rejecting)
		time.Sleep(2 * time.Second)
		f.store.SetOutage(emul.NoOutage)
		time.Sleep(4 * time.Second)
		t.Logf("%d reads of the whole state", f.store.Counts()["List"]-snapshots)
		if sent, document := f.farBytes.Load()-before, int64(len(testDocument(1))); sent > document/4 || f.store.Counts()["List"] > snapshots {
			t.Errorf("the store sent %d bytes to the other region, a document has %d", sent, document)
		}
	})
}

// TestRelaysLost guards against daemons that all read the whole state from the store when the daemons that they
// follow are lost at once.
func TestRelaysLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t, 4, 12)
		f.startAll()
		defer f.stopAll()
		var relays []*syncNode
		for _, n := range f.nodes {
			if n.place.DataCentre == "dc3" && n.syncPlan().tier == relay {
				relays = append(relays, n)
			}
		}
		before := f.farBytes.Load()
		snapshots := f.store.Counts()["List"]
		for _, n := range relays {
			f.kill(n)
		}
		time.Sleep(4 * time.Second)
		t.Logf("%d relays killed, %d reads of the whole state", len(relays), f.store.Counts()["List"]-snapshots)
		if sent, document := f.farBytes.Load()-before, int64(len(testDocument(1))); sent > 3*document {
			t.Errorf("the store sent %d bytes to the other region, a document has %d", sent, document)
		}
	})
}
