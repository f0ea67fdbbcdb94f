package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
	"github.com/marjoramcroft/marjoramcroft/table"
)

// syncFleet is a fleet of daemons in virtual time, in two regions, with the store in the first one. The store's
// answers to the other region share a narrow link.
type syncFleet struct {
	t     *testing.T
	net   *emul.Network
	store *emul.Store
	nodes []*syncNode

	calls     atomic.Int64 // to the store; a renewal and a stale read count a tenth
	farBytes  atomic.Int64 // answers of the store to the other region
	mu        sync.Mutex
	linkBytes float64   // capacity of the link between the regions, in bytes a second
	linkFree  time.Time // when the link between the regions has carried all answers
	separated bool
}

type syncNode struct {
	*Node
	addr  ident.Addr
	place ident.Place
	up    atomic.Bool // in touch with the others
}

const (
	// farLinkBytes is the capacity of the link between the regions, in bytes a second (10 Mbit/s).
	farLinkBytes = 10e6 / 8
	// inForceBound is the time in which a configuration must be in force everywhere.
	inForceBound = 2500 * time.Millisecond
)

func newSyncFleet(t *testing.T, dataCentres, daemons int) *syncFleet {
	f := &syncFleet{t: t, net: emul.NewNetwork(), store: emul.NewStore(emul.DefaultStoreConfig()), linkBytes: farLinkBytes}
	for d := range dataCentres {
		p := ident.Place{Region: "near", DataCentre: ident.DataCentre(fmt.Sprint("dc", d))}
		if d >= dataCentres/2 {
			p.Region = "far"
		}
		for i := range daemons {
			f.nodes = append(f.nodes, &syncNode{addr: ident.Addr(fmt.Sprintf("10.%d.0.%d:7000", d, i)), place: p})
		}
	}
	return f
}

// start starts the process of n.
func (f *syncFleet) start(n *syncNode) {
	set := stats.New()
	cfg := DefaultConfig()
	sc := store.DefaultConfig()
	sc.Budget, sc.Budgets = store.Budget{Reads: 1000, ReadBurst: 1000, Writes: 1000, WriteBurst: 1000}, nil
	sc.Attempts, sc.Timeout, sc.OpenFor = 1, time.Second, 300*time.Millisecond
	sc.WatchPeriod = cfg.WatchWait() + 600*time.Millisecond
	n.Node = New(Deps{
		Self: n.addr, Place: n.place, Caller: func() ident.ServiceID { return "s" }, Config: cfg, Names: testNames, Keys: testKeys,
		Decode: decodeTestDocument, Log: event.Discard(), Stats: set, Random: rand.Float64,
		Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return f.net.Dial(ctx, n.addr, ident.Addr(addr))
		},
		Store: store.New(store.Deps{Driver: f.driver(n), Config: sc, Stats: set, Log: event.Discard(), Rand: rand.Float64}),
	})
	node := n.Node
	f.net.Listen(n.addr, n.place, func(c net.Conn) { go node.serveLink(link.New(c, node.handlers())) })
	n.up.Store(true)
	node.Start()
	time.AfterFunc(700*time.Millisecond, func() {
		_ = node.HandleHeartbeat(Heartbeat{ID: string(n.addr), Service: "s", Addr: "x:1", Slots: 4, State: Ready, Seq: 1, Started: time.Now().UnixMilli()})
	})
}

// kill ends the process of n.
func (f *syncFleet) kill(n *syncNode) {
	n.up.Store(false)
	n.stop()
	f.net.Kill(n.addr)
	n.closeLinks()
	n.wg.Wait()
}

func (f *syncFleet) stopAll() {
	for _, n := range f.nodes {
		if n.up.Load() {
			f.kill(n)
		}
	}
}

// separate parts the regions, or joins them. The store is in the first one.
func (f *syncFleet) separate(parted bool) {
	f.mu.Lock()
	f.separated = parted
	f.mu.Unlock()
	f.net.Partition("near", "far", parted)
}

// transfer waits until an answer of the store has reached n.
func (f *syncFleet) transfer(ctx context.Context, n *syncNode, size int) error {
	d := 5 * time.Millisecond
	f.mu.Lock()
	if n.place.Region == "far" {
		if f.separated {
			f.mu.Unlock()
			<-ctx.Done()
			return fmt.Errorf("%w: regions are parted", store.ErrUnavailable)
		}
		f.farBytes.Add(int64(size))
		now := time.Now()
		if f.linkFree.Before(now) {
			f.linkFree = now
		}
		f.linkFree = f.linkFree.Add(time.Duration(float64(size) / f.linkBytes * float64(time.Second)))
		d += f.linkFree.Sub(now) + 40*time.Millisecond
	}
	f.mu.Unlock()
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
}

// encodedSize returns the size of values in an answer of the store, in base64 with the key.
func encodedSize(values []store.Value) int {
	n := 100
	for _, v := range values {
		n += len(v.Data)*4/3 + len(v.Key) + 60
	}
	return n
}

// driver returns a driver of the store at n that counts calls and takes the time of the transfer.
func (f *syncFleet) driver(n *syncNode) store.Driver {
	d := f.store.Driver()
	out := d
	out.StaleList = func(ctx context.Context, prefix string) ([]store.Value, error) {
		v, err := d.List(ctx, prefix)
		if err == nil {
			f.calls.Add(1)
			err = f.transfer(ctx, n, encodedSize(v))
		}
		return v, err
	}
	out.Snapshot = func(ctx context.Context, prefix string) ([]store.Value, int64, error) {
		f.calls.Add(10)
		v, rev, err := d.Snapshot(ctx, prefix)
		if err == nil {
			err = f.transfer(ctx, n, encodedSize(v))
		}
		return v, rev, err
	}
	out.Follow = func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
		f.calls.Add(10)
		c, rev, err := d.Follow(ctx, prefix, after, wait)
		if err == nil {
			var v []store.Value
			for _, x := range c {
				v = append(v, x.Value)
			}
			err = f.transfer(ctx, n, encodedSize(v))
		}
		return c, rev, err
	}
	out.Swap = func(ctx context.Context, key string, revision int64, data []byte, lease store.LeaseID) (store.Value, error) {
		f.calls.Add(10)
		if err := f.transfer(ctx, n, 100); err != nil {
			return store.Value{}, err
		}
		return d.Swap(ctx, key, revision, data, lease)
	}
	out.Grant = func(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
		f.calls.Add(10)
		if err := f.transfer(ctx, n, 100); err != nil {
			return 0, err
		}
		return d.Grant(ctx, ttl)
	}
	out.Renew = func(ctx context.Context, id store.LeaseID) error {
		f.calls.Add(1)
		if err := f.transfer(ctx, n, 100); err != nil {
			return err
		}
		return d.Renew(ctx, id)
	}
	return out
}

// testDocument returns a configuration of some 200 KB whose content depends on v in a few rows.
func testDocument(v int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%d\n", v)
	for i := range 2000 {
		w := 1
		if i%500 == v%500 {
			w = v
		}
		fmt.Fprintf(&b, "route-%08x host-%08x.example /prefix-%08x/ service-%d weight %d timeout 2.5 goal 0.6 attempts 2\n", i*7919, i*104729, i*15485863, i%3, w)
	}
	return []byte(b.String())
}

func decodeTestDocument(b []byte) (table.Spec, error) {
	var v ident.Version
	_, err := fmt.Sscan(string(b[:min(len(b), 20)]), &v)
	return table.Spec{
		Version: v, Services: []table.Service{{ID: "s"}},
		Routes: []table.Route{{ID: "r", Host: "h", Prefix: "/", Parts: []table.WeightedService{{Service: "s", Weight: 1}}, Timeout: time.Second}},
	}, err
}

// accept writes version v to the store.
func (f *syncFleet) accept(v int) {
	d := f.store.Driver()
	cur, err := d.Get(context.Background(), testKeys.Config)
	if err == nil {
		_, err = d.Swap(context.Background(), testKeys.Config, cur.Revision, testDocument(v), 0)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

// behind returns the daemons that have no version from v on.
func (f *syncFleet) behind(v int) (out []string) {
	for _, n := range f.nodes {
		if n.up.Load() && n.Version() < ident.Version(v) {
			out = append(out, fmt.Sprintf("%s has %d", n.addr, n.Version()))
		}
	}
	return out
}

// requireInForce fails the test if a daemon has no version from v on.
func (f *syncFleet) requireInForce(v int) {
	f.t.Helper()
	if b := f.behind(v); len(b) > 0 {
		f.t.Errorf("version %d is not in force at %d of %d daemons: %v", v, len(b), len(f.nodes), b[:min(len(b), 5)])
	}
}

// startAll starts all daemons within 0.3 s and waits until they have version 1.
func (f *syncFleet) startAll() {
	f.accept(1)
	for _, n := range f.nodes {
		time.Sleep(300 * time.Millisecond / time.Duration(len(f.nodes)))
		f.start(n)
	}
	time.Sleep(8 * time.Second)
	f.requireInForce(1)
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

// storm accepts six versions a second for five seconds after from, each followed by during, and checks that each
// is in force within the bound.
func (f *syncFleet) storm(from int, during func(i int)) int {
	const changes, gap = 30, 170 * time.Millisecond
	var wg sync.WaitGroup
	for i := range changes {
		v := from + i + 1
		f.accept(v)
		wg.Go(func() {
			time.Sleep(inForceBound)
			f.requireInForce(v)
		})
		if during != nil {
			during(i)
		}
		time.Sleep(gap)
	}
	wg.Wait()
	return from + changes
}

func (f *syncFleet) roots() (out []*syncNode) {
	for _, n := range f.nodes {
		if n.up.Load() && n.syncPlan().tier == root {
			out = append(out, n)
		}
	}
	return out
}

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
				links, answers, calls := f.net.Traffic().Links[[2]ident.Region{"near", "far"}], f.farBytes.Load(), f.calls.Load()
				v := f.storm(1, nil)
				sent := f.net.Traffic().Links[[2]ident.Region{"near", "far"}] - links + f.farBytes.Load() - answers
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
		links, answers := f.net.Traffic().Links[[2]ident.Region{"near", "far"}], f.farBytes.Load()
		f.separate(false)
		time.Sleep(5 * time.Second)
		f.requireInForce(2)
		sent := f.net.Traffic().Links[[2]ident.Region{"near", "far"}] - links + f.farBytes.Load() - answers
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
		links, answers := f.net.Traffic().Links[[2]ident.Region{"near", "far"}], f.farBytes.Load()
		time.Sleep(500 * time.Millisecond)
		for _, n := range f.nodes {
			f.start(n)
		}
		time.Sleep(3 * time.Second)
		f.requireInForce(2)
		sent := f.net.Traffic().Links[[2]ident.Region{"near", "far"}] - links + f.farBytes.Load() - answers
		if sent > int64(farLinkBytes*3/2) {
			t.Errorf("%d bytes crossed in 3 s, more than half of the link; %d from the store", sent, f.farBytes.Load()-answers)
		}
		f.stopAll()
	})
}
