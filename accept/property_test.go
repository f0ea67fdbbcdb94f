package accept

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
	_ "github.com/marjoramcroft/marjoramcroft/seed" // makes rapid draw the same cases in each run
	"github.com/marjoramcroft/marjoramcroft/store"
)

// model records one run of the property test: every head that was written, every proposal, and the
// result that Propose returned for it.
type model struct {
	t         *rapid.T
	emul      *emul.Store
	acceptors []*bench
	reader    *Acceptor // reads without the injected faults

	mu       sync.Mutex
	written  []store.Value // all values of head, in order
	outcomes map[ident.ChangeID]outcome

	checked    int // number of values in written that were checked
	agreements []*agree.Agreement
	heads      []Head
	proposals  map[ident.ChangeID]Proposal
	running    sync.WaitGroup
}

type outcome struct {
	version   ident.Version
	unchanged bool
	err       error
}

func newModel(t *testing.T, rt *rapid.T) *model {
	m := &model{
		t: rt, emul: emul.NewStore(emul.DefaultStoreConfig()), outcomes: map[ident.ChangeID]outcome{},
		proposals: map[ident.ChangeID]Proposal{}, agreements: []*agree.Agreement{agree.Empty()}, heads: []Head{{}},
	}
	for range 3 {
		b := newBenchOn(t, m.emul)
		b.Config.KeepVersions = 3 // low, so that collections remove bases
		m.acceptors = append(m.acceptors, b)
	}
	m.emul.OnChange(func(v store.Value) {
		if v.Key == HeadKey {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.written = append(m.written, v)
		}
	})
	m.reader = newFaultFreeAcceptor(t, m.emul)
	return m
}

// newFaultFreeAcceptor returns an Acceptor whose Get calls bypass the injected faults and whose caches
// are empty.
func newFaultFreeAcceptor(t testing.TB, s *emul.Store) *Acceptor {
	b := newBenchOn(t, s)
	d := s.Driver()
	d.Get = func(_ context.Context, key string) (store.Value, error) { return s.Peek(key), nil }
	b.Store = store.New(store.Deps{
		Driver: d, Config: b.Store.Config, Stats: b.stats, Log: b.Log, Rand: b.Rand,
	}).As(store.RoleOperator)
	return b.Acceptor
}

// propose submits a proposal in the background. While its outcome is unknown, it is submitted again
// with the same ID, at most repeats times, in turn through the Acceptor used last and through a new
// one, as after a restart.
func (m *model) propose(t *testing.T, a *bench, p Proposal, repeats int) {
	m.proposals[p.ID] = p
	m.running.Go(func() {
		res, err := a.Propose(t.Context(), p)
		for i := range repeats {
			if !errors.Is(err, ErrUnknown) {
				break
			}
			time.Sleep(time.Second)
			if i%2 == 1 {
				p.Resubmitted = true
				a = newBenchOn(t, m.emul)
			}
			res, err = a.Propose(t.Context(), p)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.outcomes[p.ID] = outcome{res.Version, res.Unchanged, err}
	})
}

// drawEdits changes, adds or removes one to three caps.
func (m *model) drawEdits(caps map[string]int) map[string]int {
	for range rapid.IntRange(1, 3).Draw(m.t, "edits") {
		member := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(m.t, "member")
		if units := rapid.IntRange(0, 4).Draw(m.t, "units"); units > 0 {
			caps[member] = units
		} else if len(caps) > 1 {
			delete(caps, member)
		}
	}
	return caps
}

func capsOf(a *agree.Agreement) map[string]int {
	out := map[string]int{}
	for _, r := range a.Rows() {
		if r.Kind == agree.KindCap {
			out[string(r.Member)] = int(r.Units)
		}
	}
	return out
}

func (m *model) drawBase() ident.Version {
	return ident.Version(rapid.IntRange(max(0, len(m.heads)-5), len(m.heads)-1).Draw(m.t, "base"))
}

func (m *model) drawAcceptor() *bench {
	return rapid.SampledFrom(m.acceptors).Draw(m.t, "acceptor")
}

func (m *model) actions(t *testing.T) map[string]func(*rapid.T) {
	id := 0
	nextID := func() string { id++; return fmt.Sprint("change", id) }
	return map[string]func(*rapid.T){
		"upload": func(*rapid.T) {
			base := m.drawBase()
			p := sheetOf(nextID(), base, m.drawEdits(capsOf(m.agreements[base])))
			p.HasBase = rapid.Bool().Draw(m.t, "has base")
			if !p.HasBase {
				p.Base = 0
			}
			m.propose(t, m.drawAcceptor(), p, rapid.IntRange(0, 3).Draw(m.t, "repeats"))
		},
		"correct": func(*rapid.T) {
			base := m.drawBase()
			caps := slices.Sorted(maps.Keys(capsOf(m.agreements[base])))
			if len(caps) == 0 {
				return
			}
			p := correction(nextID(), base, capRow(rapid.SampledFrom(caps).Draw(m.t, "member"), rapid.IntRange(1, 4).Draw(m.t, "units")))
			p.HasBase = true
			m.propose(t, m.drawAcceptor(), p, rapid.IntRange(0, 3).Draw(m.t, "repeats"))
		},
		"restore": func(*rapid.T) {
			base := ident.Version(len(m.heads) - 1)
			if rapid.IntRange(0, 3).Draw(m.t, "stale base") == 0 {
				base = m.drawBase()
			}
			from := ident.Version(rapid.IntRange(1, max(1, len(m.heads)-1)).Draw(m.t, "from"))
			p := restore(nextID(), from, base)
			p.HasBase = true
			m.propose(t, m.drawAcceptor(), p, rapid.IntRange(0, 3).Draw(m.t, "repeats"))
		},
		"lose answers": func(*rapid.T) {
			answer := rapid.SampledFrom([]emul.Answer{emul.Broken, emul.Missing, emul.Late}).Draw(m.t, "answer")
			delay := time.Duration(rapid.IntRange(1, 90_000).Draw(m.t, "late by ms")) * time.Millisecond
			key := rapid.SampledFrom([]string{HeadKey, ""}).Draw(m.t, "key")
			m.emul.FailWrites(key, rapid.IntRange(1, 3).Draw(m.t, "writes"), answer, delay)
		},
		"outage": func(*rapid.T) {
			m.emul.SetOutage(rapid.SampledFrom([]emul.Outage{emul.NoOutage, emul.Rejecting, emul.Silent}).Draw(m.t, "outage"))
		},
		"slow store": func(*rapid.T) {
			m.emul.SetDelay(time.Duration(rapid.SampledFrom([]int{0, 100, 1500, 3000}).Draw(m.t, "delay ms")) * time.Millisecond)
		},
		"slow writer": func(*rapid.T) {
			// A paused process sends its swap only after the pause, whatever its deadline.
			pause := time.Duration(rapid.IntRange(1, 120).Draw(m.t, "pause s")) * time.Second
			var paused atomic.Bool
			m.emul.BeforeWrite(func(_, key string) {
				if key == HeadKey && !paused.Swap(true) {
					time.Sleep(pause)
				}
			})
		},
		"collect": func(*rapid.T) {
			m.checkHeads(t)
			if rapid.Bool().Draw(m.t, "a day later") {
				time.Sleep(25 * time.Hour)
			}
			_, _ = m.drawAcceptor().Collect(t.Context()) // fails during an outage
		},
		"time passes": func(*rapid.T) {
			time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 50, 1000, 20_000, 1_000_000}).Draw(m.t, "ms")) * time.Millisecond)
		},
		"": func(*rapid.T) { m.checkHeads(t) },
	}
}

// checkInBubble runs each case of prop in a synctest bubble of its own, with virtual time.
func checkInBubble(t *testing.T, prop func(*testing.T, *model)) {
	rapid.Check(t, func(rt *rapid.T) {
		var failure any
		synctest.Test(t, func(t *testing.T) {
			m := newModel(t, rt)
			defer func() {
				failure = recover()
				// Wait for the proposals here, since time in a bubble stops once its main goroutine has ended.
				m.emul.SetOutage(emul.NoOutage)
				m.running.Wait()
			}()
			prop(t, m)
		})
		if failure == nil {
			return
		}
		// While it shrinks a case, rapid compares the source lines of panics. Running out of data is
		// raised on a line of its own, so that it is not taken for the original failure.
		if fmt.Sprintf("%T", failure) == "rapid.invalidData" {
			panic(failure)
		}
		panic(failure)
	})
}

func TestAcceptanceUnderRandomFaults(t *testing.T) {
	checkInBubble(t, func(t *testing.T, m *model) {
		first := sheetOf("first", 0, map[string]int{"a": 1, "b": 2, "c": 3})
		m.proposals[first.ID] = first
		m.acceptors[0].mustPropose(t, first)
		m.t.Repeat(m.actions(t))
		m.endFaults(t)
		// Accepting one more change writes the history record that the change before it may not have written.
		last := correction("last", m.heads[len(m.heads)-1].Version, agree.Row{Kind: agree.KindMember, Member: "z"})
		m.propose(t, m.acceptors[0], last, 10)
		m.endFaults(t)
		m.checkOutcomes(t)
	})
}

// endFaults ends all faults, waits for the proposals and the late writes, and checks the heads.
func (m *model) endFaults(t *testing.T) {
	m.emul.SetOutage(emul.NoOutage)
	m.emul.SetDelay(0)
	m.running.Wait()
	time.Sleep(5 * time.Minute)
	m.checkHeads(t)
}
