package mesh

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/wire"
)

// TestForeignEntry guards against a daemon whose backend server is out of use because another writer replaced the
// daemon's entry in the store.
func TestForeignEntry(t *testing.T) {
	tests := map[string]func(p *Peer){
		"largest incarnation":       func(p *Peer) { p.Life, p.Server = math.MaxInt64, nil },
		"later incarnation":         func(p *Peer) { p.Life, p.Server = p.Life+1e9, nil },
		"largest sequence number":   func(p *Peer) { p.Seq, p.Server = math.MaxInt64, nil },
		"largest incarnation, seq":  func(p *Peer) { p.Life, p.Seq, p.Server = math.MaxInt64, math.MaxInt64, nil },
		"largest era":               func(p *Peer) { p.Era, p.Server = math.MaxInt64, nil },
		"smallest incarnation":      func(p *Peer) { p.Life, p.Seq, p.Server = math.MinInt64, math.MinInt64, nil },
		"odd server":                func(p *Peer) { p.Life++; p.Server = &Server{Slots: math.MinInt64, Born: math.MaxInt64, State: "odd"} },
		"departure of each process": func(p *Peer) { p.Life++; p.Departed = []departure{{ID: "x", Born: math.MaxInt64, Earlier: true}} },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSyncFleet(t, 2, 3)
				defer f.stopAll()
				f.startAll()
				n := f.quiet()
				key := testKeys.Peers + string(n.addr)
				v, err := f.store.Driver().Get(t.Context(), key)
				is.NoErr(err)
				var p Peer
				is.NoErr(wire.Decode(v.Data, &p))
				change(&p)
				data, err := wire.Encode(p)
				is.NoErr(err)
				_, err = f.store.Driver().Swap(t.Context(), key, v.Revision, data, 0)
				is.NoErr(err)
				time.Sleep(15 * time.Second)
				for _, o := range f.nodes {
					if o.inUse(n.addr) == "" {
						t.Errorf("%s does not use the server at %s", o.addr, n.addr)
					}
				}
			})
		})
	}
}
