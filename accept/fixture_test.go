package accept

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// bench is a test bench: an emulated store and an Acceptor that uses it.
type bench struct {
	*Acceptor
	emul  *emul.Store
	stats *stats.Set
}

func newBench(t testing.TB) *bench {
	t.Helper()
	cfg := emul.DefaultStoreConfig()
	cfg.ReadRate, cfg.WriteRate = 0, 0
	return newBenchOn(t, emul.NewStore(cfg))
}

func newBenchOn(t testing.TB, s *emul.Store) *bench {
	t.Helper()
	cfg := store.DefaultConfig()
	unlimited := store.Budget{Reads: 1e6, ReadBurst: 1e6, Writes: 1e6, WriteBurst: 1e6}
	cfg.Budgets = map[store.Role]store.Budget{store.RoleOperator: unlimited}
	rnd := lockedRand()
	set := stats.New()
	client := store.New(store.Deps{
		Driver: s.Driver(), Config: cfg, Stats: set, Log: event.Discard(), Rand: rnd,
	}).As(store.RoleOperator)
	a, err := New(Deps{Store: client, Config: DefaultConfig(), Stats: set, Log: event.Discard(), Rand: rnd})
	if err != nil {
		t.Fatal(err)
	}
	return &bench{Acceptor: a, emul: s, stats: set}
}

// lockedRand returns a seeded source of random numbers that is safe for concurrent use.
func lockedRand() func() float64 {
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(1, 2))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rnd.Float64()
	}
}

func capRow(member string, units int) agree.Row {
	return agree.Row{Kind: agree.KindCap, Member: ident.MemberID(member), Service: "s", Units: ident.Units(units)}
}

// sampleRows returns a service and, for each member, its row and its cap.
func sampleRows(caps map[string]int) []agree.Row {
	rows := []agree.Row{{Kind: agree.KindService, Service: "s"}}
	for m, units := range caps {
		rows = append(rows, agree.Row{Kind: agree.KindMember, Member: ident.MemberID(m)}, capRow(m, units))
	}
	return rows
}

func sheetOf(id string, base ident.Version, caps map[string]int) Proposal {
	return Proposal{
		ID: ident.ChangeID(id), Author: "planner", Kind: KindSheet, Base: base,
		Change: agree.Change{Put: sampleRows(caps)},
	}
}

func correction(id string, base ident.Version, rows ...agree.Row) Proposal {
	return Proposal{
		ID: ident.ChangeID(id), Author: "operator", Kind: KindCorrection, Base: base,
		Change: agree.Change{Put: rows},
	}
}

func (b *bench) mustPropose(t testing.TB, p Proposal) Result {
	t.Helper()
	res, err := b.Propose(t.Context(), p)
	if err != nil {
		t.Fatalf("propose %s: %v", p.ID, err)
	}
	return res
}

// caps returns the caps in head by member. The test fails if head cannot be loaded.
func (b *bench) caps(t testing.TB) map[string]int {
	t.Helper()
	head, err := b.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	a, err := newBenchOn(t, b.emul).Load(t.Context(), head) // with empty caches
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]int{}
	for _, r := range a.Rows() {
		if r.Kind == agree.KindCap {
			out[string(r.Member)] = int(r.Units)
		}
	}
	return out
}
