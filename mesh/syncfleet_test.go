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
	"time"

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
	// clockLag is how far the clock of the next process is behind.
	clockLag time.Duration
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

// start starts the process of n, to which a new backend server reports soon after.
func (f *syncFleet) start(n *syncNode) { f.startWith(n, f.driver(n)) }

// startWith is start with another driver of the store.
func (f *syncFleet) startWith(n *syncNode, d store.Driver) {
	f.startAlone(n, d)
	node := n.Node
	time.AfterFunc(700*time.Millisecond, func() {
		_ = node.HandleHeartbeat(Heartbeat{ID: string(n.addr), Service: "s", Addr: "x:1", Slots: 4, State: Ready, Seq: 1, Started: time.Now().UnixMilli()})
	})
}

// startAlone starts the process of n, to which no backend server reports.
func (f *syncFleet) startAlone(n *syncNode, d store.Driver) {
	set := stats.New()
	cfg := DefaultConfig()
	sc := store.DefaultConfig()
	sc.Budget, sc.Budgets = store.Budget{Reads: 1000, ReadBurst: 1000, Writes: 1000, WriteBurst: 1000}, nil
	sc.Attempts, sc.Timeout, sc.OpenFor = 1, time.Second, 300*time.Millisecond
	sc.WatchPeriod = cfg.WatchWait() + 600*time.Millisecond
	lag := n.clockLag
	n.Node = New(Deps{
		Now:  func() time.Time { return time.Now().Add(-lag) },
		Self: n.addr, Place: n.place, Caller: func() ident.ServiceID { return "s" }, Config: cfg, Names: testNames, Keys: testKeys,
		Decode: decodeTestDocument, Log: event.Discard(), Stats: set, Random: rand.Float64,
		Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return f.net.Dial(ctx, n.addr, ident.Addr(addr))
		},
		Store: store.New(store.Deps{Driver: d, Config: sc, Stats: set, Log: event.Discard(), Rand: rand.Float64}),
	})
	node := n.Node
	f.net.Listen(n.addr, n.place, func(c net.Conn) { go node.serveLink(link.New(c, node.handlers())) })
	n.up.Store(true)
	node.Start()
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
	out.Snapshot = func(ctx context.Context, prefix string) ([]store.Value, store.Position, error) {
		f.calls.Add(10)
		v, rev, err := d.Snapshot(ctx, prefix)
		if err == nil {
			err = f.transfer(ctx, n, encodedSize(v))
		}
		return v, rev, err
	}
	out.Follow = func(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Change, store.Position, error) {
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
	out.Get = func(ctx context.Context, key string) (store.Value, error) {
		f.calls.Add(10)
		v, err := d.Get(ctx, key)
		if err == nil {
			err = f.transfer(ctx, n, encodedSize([]store.Value{v}))
		}
		return v, err
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

// testKey returns the key of the account "a" in testDocument(v). The account has another one in each version.
func testKey(v ident.Version) string { return fmt.Sprintf("key-%d", v) }

func decodeTestDocument(b []byte) (table.Spec, error) {
	var v ident.Version
	_, err := fmt.Sscan(string(b[:min(len(b), 20)]), &v)
	return table.Spec{
		Version: v, Services: []table.Service{{ID: "s"}},
		Routes:   []table.Route{{ID: "r", Host: "h", Prefix: "/", Parts: []table.WeightedService{{Service: "s", Weight: 1}}, Timeout: time.Second}},
		Accounts: []table.Account{{ID: "a", Keys: []string{testKey(v)}}},
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
	f.startAllWith(func(_ *syncNode, d store.Driver) store.Driver { return d })
}

// startAllWith is startAll with the drivers that wrap returns.
func (f *syncFleet) startAllWith(wrap func(n *syncNode, d store.Driver) store.Driver) {
	f.accept(1)
	for _, n := range f.nodes {
		time.Sleep(300 * time.Millisecond / time.Duration(len(f.nodes)))
		f.startWith(n, wrap(n, f.driver(n)))
	}
	time.Sleep(8 * time.Second)
	f.requireInForce(1)
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

// crossed returns the bytes that crossed from the region of the store to the other one so far.
func (f *syncFleet) crossed() int64 {
	return f.net.Traffic().Links[[2]ident.Region{"near", "far"}] + f.farBytes.Load()
}
