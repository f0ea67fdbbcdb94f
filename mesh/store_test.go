package mesh

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// TestStoreOutages guards against a store outage that interrupts calls, and against entries that are not
// restored after it.
func TestStoreOutages(t *testing.T) {
	tests := map[string]func(r *testCluster){
		"rejecting": func(r *testCluster) { r.store.SetOutage(emul.Rejecting) },
		"silent":    func(r *testCluster) { r.store.SetOutage(emul.Silent) },
		"silent when watches are sent again": func(r *testCluster) {
			r.store.SetOutage(emul.Silent)
			time.Sleep(DefaultConfig().WatchWait() + 200*time.Millisecond)
		},
	}
	for name, begin := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, a, b := twoNodes(t)
			is.Equal(a.call(t.Context(), "/s/get/").Refusal, nil)
			is.Equal(b.call(t.Context(), "/s/get/").Refusal, nil)
			begin(r)
			a.heartbeat(Draining)
			eventually(t, "calls go on at the other server", func() bool {
				ans := a.call(t.Context(), "/s/get/")
				return ans.Refusal == nil && string(ans.Body) == "ok "+b.backend.id
			})
			r.store.AdvanceClock(time.Minute) // leases expire meanwhile
			r.store.SetOutage(emul.NoOutage)
			r.configure(2, "s", "u")
			back := time.Now()
			eventually(t, "new configuration", func() bool { return a.Version() == 2 && b.Version() == 2 })
			d := r.store.Driver()
			eventually(t, "entries are back", func() bool {
				list, err := d.List(t.Context(), testKeys.Peers)
				return err == nil && len(list) == 2
			})
			is.True(time.Since(back) < 2*time.Second)
			b.waitForServers(t, "s", 1)
		})
	}
}

// TestRevokedEntry guards against a running daemon whose entry stays missing after the store removed it.
func TestRevokedEntry(t *testing.T) {
	is := is.New(t)
	r, a, _ := twoNodes(t)
	d := r.store.Driver()
	key := testKeys.Peers + a.addr
	before, err := d.Get(t.Context(), key)
	is.NoErr(err)
	is.NoErr(d.Delete(t.Context(), key, 0))
	eventually(t, "entry is written again", func() bool {
		v, err := d.Get(t.Context(), key)
		return err == nil && v.Revision > before.Revision
	})
}

// TestForeignEntries guards against losing valid entries because of invalid ones from another writer.
func TestForeignEntries(t *testing.T) {
	is := is.New(t)
	r, a, b := twoNodes(t)
	d := r.store.Driver()
	for key, data := range map[string]string{"x": "\xff\xff", "10.0.0.1:1": "{}", "": "text"} {
		_, err := d.Swap(t.Context(), testKeys.Peers+key, 0, []byte(data), 0)
		is.NoErr(err)
	}
	b.heartbeat(Draining)
	a.waitForServers(t, "s", 1)
}

// TestRestartWithoutStore guards against a daemon that starts during a store outage and serves nothing,
// although other daemons have the configuration.
func TestRestartWithoutStore(t *testing.T) {
	is := is.New(t)
	r, a, b := twoNodes(t)
	a.backend.set(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	is.Equal(a.call(t.Context(), "/s/get/").Status, 200) // opens a link to b
	r.store.SetOutage(emul.Rejecting)
	b.kill()
	r.start(b)
	is.True(!b.Ready())
	eventually(t, "configuration from a peer", b.Ready)
	is.Equal(b.Version(), ident.Version(1))
	b.heartbeat(Ready)
	eventually(t, "peers from a peer", func() bool {
		_, ok := b.peers.get(ident.Addr(a.addr))
		return ok
	})
}

// TestLostWrite guards against an entry that stays outdated because the reply to its write was lost, and
// against a late write that overwrites a newer one.
func TestLostWrite(t *testing.T) {
	tests := map[string]emul.Answer{"answer broken": emul.Broken, "answer missing": emul.Missing, "late": emul.Late}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, a, b := twoNodes(t)
			r.store.FailWrites(testKeys.Peers+b.addr, 1, answer, 700*time.Millisecond)
			b.heartbeat(Draining)
			eventually(t, "entry says draining", func() bool {
				values, _, err := r.store.Driver().Snapshot(t.Context(), testKeys.Peers+b.addr)
				if err != nil || len(values) != 1 {
					return false
				}
				n := a.Node
				n.applyValue(values[0])
				p, ok := n.peers.get(ident.Addr(b.addr))
				return ok && p.Server.State == Draining
			})
			time.Sleep(time.Second)
			a.waitForServers(t, "s", 1)
		})
	}
}

// TestOlderVersionIsIgnored guards against a slow peer or a stale read that restores an older configuration.
func TestOlderVersionIsIgnored(t *testing.T) {
	is := is.New(t)
	r, a, _ := twoNodes(t)
	old := a.document().raw
	r.configure(7, "s", "u")
	eventually(t, "version 7", func() bool { return a.Version() == 7 })
	a.adopt(old, delta{}, "Peer", "test")
	is.Equal(a.Version(), ident.Version(7))
	a.adopt([]byte(`{"Version": 9, "Routes": [{"Host": "h"}]}`), delta{}, "Store", "test") // invalid
	is.Equal(a.Version(), ident.Version(7))
}
