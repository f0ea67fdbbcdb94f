package fanout_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/race"
	_ "github.com/marjoramcroft/marjoramcroft/seed" // fixes the seed, so that each run uses the same cases
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// action is one step of an interleaving.
type action struct {
	Kind   string
	Daemon int
	On     bool
	Wait   time.Duration
}

var actions = rapid.Custom(func(t *rapid.T) action {
	return action{
		Kind: rapid.SampledFrom([]string{
			"accept", "accept", "accept", "lose", "duplicate", "corrupt", "reorder", "deliver",
			"restart", "kill", "reset", "pause", "store", "cut",
		}).Draw(t, "kind"),
		Daemon: rapid.IntRange(0, 11).Draw(t, "daemon"),
		On:     rapid.Bool().Draw(t, "on"),
		Wait:   time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond,
	}
})

// failures collects the failures of one interleaving, since rapid does not allow reporting them
// from another goroutine.
type failures struct {
	mu   sync.Mutex
	list []string
}

func (f *failures) Errorf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// Guards against an interleaving of changes, restarts, outages and lost, reordered, duplicated
// and corrupt messages after which an address serves a lower Version, a state that was not
// accepted, or not the last accepted Version in the end. The checker examines each Version when
// a daemon starts to serve it.
func TestInterleavings(t *testing.T) {
	t.Parallel()
	n := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(actions, 3, 14).Draw(rt, "steps")
		if n++; race.Enabled && n%4 != 0 {
			return // .ci/run runs all cases without the race detector, which is faster
		}
		var out failures
		synctest.Test(t, func(*testing.T) { runInterleaving(out.Errorf, steps) })
		for _, text := range out.list {
			rt.Error(text)
		}
	})
}

func runInterleaving(errorf func(format string, args ...any), steps []action) {
	f := emul.NewFleet(12, twoRegions, 2)
	c := newChecker(errorf, f)
	c.accept()
	f.Start()
	defer f.Stop()
	time.Sleep(10 * time.Second)
	before := map[ident.Addr][]byte{}
	tampers := map[string]emul.Tamper{
		"lose":      func(ident.Addr, wire.Type, []byte) [][]byte { return nil }, // and its reply
		"duplicate": func(_ ident.Addr, _ wire.Type, b []byte) [][]byte { return [][]byte{b, b} },
		"corrupt":   func(_ ident.Addr, _ wire.Type, b []byte) [][]byte { return [][]byte{flipBit(b, len(b)/2)} },
		"reorder": func(to ident.Addr, _ wire.Type, b []byte) [][]byte {
			old := before[to]
			before[to] = b
			if old == nil {
				return nil
			}
			return [][]byte{old}
		},
		"deliver": nil,
	}
	down := false
	for _, s := range steps {
		d := f.Daemons()[s.Daemon]
		switch s.Kind {
		case "accept":
			if !down {
				c.accept()
			}
		case "restart":
			d.Kill()
			d.Start()
		case "kill":
			d.Kill()
		case "reset":
			f.Net.Reset(d.Addr)
		case "pause":
			f.Net.Pause(d.Addr, s.On)
		case "store":
			down = s.On
			f.Platform.SetDown(down)
		case "cut":
			f.Net.Partition("riga", "daugavpils", s.On)
		default:
			f.SetTamper(tampers[s.Kind])
		}
		time.Sleep(s.Wait)
	}
	f.SetTamper(nil)
	f.Platform.SetDown(false)
	f.Net.Partition("riga", "daugavpils", false)
	for _, d := range f.Daemons() {
		f.Net.Pause(d.Addr, false)
		if !d.Running() {
			d.Start()
		}
	}
	// Several faults end at the same time, so the convergence target for a single fault does not
	// apply: the daemons have 10 s.
	c.waitServed(10*time.Second, c.accept(), "in the end", allDaemons)
}
