package poison

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// scheme is an algorithm for tracking suspects, for comparison with others.
type scheme struct {
	name  string
	check func(Fingerprint) error
	crash func(Crash, []Fingerprint)
	clear func(Fingerprint) // called when a request completes
	bytes func() int        // estimate: entries times their size
}

// trace returns a simulation of n requests from crashers, one per second. A share of chance
// of them crashes the backend server; the others complete. Between two of them the 119 other
// connections of a backend server complete ten requests of 100 ms each.
func trace(popular bool, crashers, n int, chance float64) func(t *testing.T, s scheme) {
	return func(t *testing.T, s scheme) {
		rnd, between := rand.New(rand.NewSource(1)), rand.New(rand.NewSource(2))
		other := func(rnd *rand.Rand) Fingerprint {
			path := fmt.Sprintf("/item/%d", rnd.Int63())
			if popular && rnd.Intn(4) == 0 {
				path = fmt.Sprintf("/home/%d", rnd.Intn(200))
			}
			return NewFingerprint("office", "r", "GET", path, nil)
		}
		sent := make([]int, crashers) // crashes caused by each crasher
		refusedAt := make([]int, crashers)
		falseRefusals, calls := 0, 0
		for i := range n {
			// The crashers send in turn, one request per second, so that each of 50 is resent
			// about once a minute until it is refused.
			c := i % crashers
			bad := NewFingerprint("office", "r", "POST", fmt.Sprintf("/crash/%d", c), nil)
			if s.check(bad) != nil {
				if refusedAt[c] == 0 {
					refusedAt[c] = sent[c]
				}
				time.Sleep(time.Second)
				continue
			}
			for range 1190 {
				if fp := other(between); s.check(fp) == nil {
					s.clear(fp)
				}
			}
			if between.Float64() >= chance {
				s.clear(bad)
				time.Sleep(time.Second)
				continue
			}
			sent[c]++
			server := ident.Addr(fmt.Sprintf("vm-%d:8080", rnd.Intn(32)))
			lost := []Fingerprint{bad}
			for range 119 {
				fp := other(rnd)
				calls++
				if s.check(fp) != nil {
					falseRefusals++
					continue
				}
				lost = append(lost, fp)
			}
			s.crash(Crash{server, fmt.Sprint(i), int64(i)}, lost)
			time.Sleep(time.Second)
		}
		most, never := 0, 0
		for c := range crashers {
			most = max(most, refusedAt[c])
			if refusedAt[c] == 0 {
				never++
				most = max(most, sent[c])
			}
		}
		t.Logf("%-20s %10d %8d %12s %10d", s.name, most, never, fmt.Sprintf("%d/%d", falseRefusals, calls), s.bytes())
	}
}

// Measures crashes until a crasher is refused, false refusals and memory on the same traces.
func TestMeasureSchemes(t *testing.T) {
	const entryBytes = 16 + 2*24 + 2*32 + 3*24 + 16 // key, slice headers, two crashes, times and flags, map overhead
	for _, tr := range []struct {
		name     string
		popular  bool
		crashers int
		chance   float64
	}{
		{"3 crashers, distinct requests", false, 3, 1},
		{"3 crashers, a quarter popular requests", true, 3, 1},
		{"50 crashers, distinct requests", false, 50, 1},
		{"50 crashers, a quarter popular requests", true, 50, 1},
		{"3 crashers that crash half of the time", false, 3, 0.5},
	} {
		t.Logf("%s", tr.name)
		t.Logf("%-20s %10s %8s %12s %10s", "scheme", "crashes", "never", "false", "bytes")
		for _, clears := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				s := New(Deps{Log: event.Discard(), Stats: stats.New()})
				x := scheme{"exact table", func(fp Fingerprint) error {
					_, err := s.Check(fp)
					return err
				}, func(c Crash, list []Fingerprint) { s.Crashed(c, list) }, func(Fingerprint) {}, func() int {
					n := 0
					for i := range s.shards {
						n += len(s.shards[i].entries)
					}
					return n * entryBytes
				}}
				if clears {
					x.name, x.clear = "answers count", func(fp Fingerprint) { s.Answered(fp) }
				}
				trace(tr.popular, tr.crashers, 300, tr.chance)(t, x)
			})
		}
	}
}
