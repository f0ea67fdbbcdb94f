package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// benchMembers lists how many members have calls above the base share at a holder.
var benchMembers = []int{0, 1, 8, 100}

func benchMember(i int) ident.MemberID { return ident.MemberID(fmt.Sprintf("member-%04d", i)) }

func benchList() List {
	l := List{Version: 1, Longest: 30 * time.Second}
	for i := range measureHolders {
		l.Holders = append(l.Holders, ident.Addr(fmt.Sprintf("vm-%02d:7000", i)))
	}
	return l
}

// benchSync is a Sync in which the demand of each member is unmet.
func benchSync(i int, addr ident.Addr, members int) Sync {
	s := Sync{Service: testService, Addr: addr, Incarnation: ident.Incarnation(1e18 + i), Seq: 1, Epoch: 2, State: 1, Ack: 1}
	for m := range members {
		s.Uses = append(s.Uses, Use{Number: uint64(m + 1), Member: benchMember(m), Limit: 3, Used: 3, Want: ident.Units(10 + i%5)})
	}
	return s
}

// BenchmarkKeeperSync measures the handling of a Sync from one of 32 holders, including
// decoding it and encoding the Grant.
func BenchmarkKeeperSync(b *testing.B) {
	for _, members := range benchMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			addrs := benchList().Holders
			k := testKeeper(addrs...)
			k.d.Cap = func(ident.MemberID) ident.Units { return measureCap }
			const rounds = 64
			var bodies [][]byte
			for i, addr := range addrs {
				if _, err := k.handleSync(benchSync(i, addr, members)); err != nil {
					b.Fatal(err)
				}
			}
			for round := range rounds {
				for i, addr := range addrs {
					s := benchSync(i, addr, members)
					s.Service, s.Addr, s.Peer, s.Seq = "", "", k.term.peers[addr].number, uint64(round+2)
					for n := range s.Uses {
						s.Uses[n].Member = ""
					}
					body, err := wire.Encode(s)
					if err != nil {
						b.Fatal(err)
					}
					bodies = append(bodies, body)
				}
			}
			b.ReportAllocs()
			defer reportCPU(b)()
			at := 0
			for b.Loop() {
				if at == len(bodies) {
					at = 0
					for _, p := range k.term.peers {
						p.seq = 1
					}
				}
				k.term.renewed = k.d.Clock.Stamp()
				if _, err := k.Handle(context.Background(), nil, TypeSync, bodies[at]); err != nil {
					b.Fatal(err)
				}
				at++
			}
		})
	}
}

// benchHolder returns a holder with calls of members on its base share, whose keeper grants
// each member three floating units.
func benchHolder(b *testing.B, members int) *Holder {
	b.Helper()
	l := benchList()
	g := Grant{Epoch: 2, State: 1, Peer: 1, Listed: true, TTL: GrantTTL, Units: make([]ident.Units, members)}
	for i := range g.Units {
		g.Units[i] = 3
	}
	body, err := wire.Encode(g)
	if err != nil {
		b.Fatal(err)
	}
	h := NewHolder(HolderDeps{
		Service: testService, Addr: l.Holders[0], Incarnation: 1e18, Clock: SystemClock(),
		Cap:    func(ident.MemberID) ident.Units { return measureCap },
		Locate: func(context.Context) (ident.Addr, error) { return l.Holders[1], nil },
		Call: func(_ context.Context, _ ident.Addr, _ wire.Type, in, out any) error {
			if _, err := wire.Encode(in); err != nil {
				return err
			}
			return wire.Decode(body, out)
		},
		Rand: func() float64 { return 0.5 }, Log: event.Discard(), Stats: stats.New(),
	})
	h.view.Store(&view{gen: 2, list: l})
	now := h.d.Clock.Stamp()
	h.confirmedAt.Store(&now)
	h.clean.Store(true)
	h.keeper, h.epoch = l.Holders[1], 2
	for i := range members {
		m := benchMember(i)
		h.shards[shardOf(m)].admission(m).short = 7
	}
	return h
}

// BenchmarkHolderExchange measures sending one Sync and applying the Grant, with encoding but
// without a network.
func BenchmarkHolderExchange(b *testing.B) {
	for _, members := range benchMembers {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			h := benchHolder(b, members)
			b.ReportAllocs()
			defer reportCPU(b)()
			for b.Loop() {
				if err := h.exchange(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkHolderTake measures admitting and ending a short call, on the base share and on a
// floating unit.
func BenchmarkHolderTake(b *testing.B) {
	for name, running := range map[string]ident.Units{"base": 0, "floating": 4} {
		b.Run(name, func(b *testing.B) {
			h := benchHolder(b, 1)
			m := benchMember(0)
			if err := h.exchange(context.Background()); err != nil {
				b.Fatal(err)
			}
			a := h.shards[shardOf(m)].admission(m)
			a.short = running
			b.ReportAllocs()
			defer reportCPU(b)()
			for b.Loop() {
				h.shards[shardOf(m)].grantedAt = h.d.Clock.Stamp()
				release, err := h.Acquire(context.Background(), Request{Member: m, Class: agree.Short, Deadline: time.Now().Add(time.Second)})
				if err != nil {
					b.Fatal(err)
				}
				release()
			}
		})
	}
}

// reportCPU reports the CPU time of this process from now until the returned function is
// called. It excludes the time in which other processes run.
func reportCPU(b *testing.B) func() {
	begin := emul.CPUTime()
	return func() { b.ReportMetric(float64(emul.CPUTime()-begin)/float64(b.N), "cpu-ns/op") }
}
