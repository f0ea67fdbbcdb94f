package peers_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/race"
	_ "github.com/marjoramcroft/marjoramcroft/seed" // the same cases in each run
)

// action is one step of an interleaving of faults and state changes.
type action struct {
	Kind   string
	Daemon int
	On     bool
	Wait   time.Duration
}

var actions = rapid.Custom(func(t *rapid.T) action {
	return action{
		Kind:   rapid.SampledFrom([]string{"state", "state", "restart", "kill", "leave", "reset", "pause", "store", "cut"}).Draw(t, "kind"),
		Daemon: rapid.IntRange(0, 15).Draw(t, "daemon"),
		On:     rapid.Bool().Draw(t, "on"),
		Wait:   time.Duration(rapid.IntRange(1, 12000).Draw(t, "wait")) * time.Millisecond,
	}
})

// Guards against an interleaving of state changes, restarts, pauses and partitions after
// which a daemon has an outdated state of a server, keeps a dead one, or suspects a live
// one.
func TestInterleavings(t *testing.T) {
	t.Parallel()
	n := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(actions, 3, 10).Draw(rt, "steps")
		if n++; race.Enabled && n%5 != 0 {
			return // the race detector slows the emulation about ten times
		}
		var wrong []string
		synctest.Test(t, func(*testing.T) { wrong = interleave(steps) })
		for _, text := range wrong {
			rt.Error(text)
		}
	})
}

func interleave(steps []action) []string {
	f := emul.NewFleet(16, twoRegions, services)
	f.Platform.Accept(agree.Empty())
	f.Start()
	defer f.Stop()
	use(f.Daemons()...)
	time.Sleep(10 * time.Second)
	states := map[*emul.Daemon]peers.State{}
	for _, s := range steps {
		d := f.Daemons()[s.Daemon]
		switch s.Kind {
		case "state":
			if d.Running() {
				drain(d)
				states[d] = peers.Draining
			}
		case "restart":
			d.Kill()
			d.Start()
			use(d)
			delete(states, d)
		case "kill":
			d.Kill()
		case "leave":
			if d.Running() {
				d.Stop()
			}
		case "reset":
			f.Net.Reset(d.Addr)
		case "pause":
			f.Net.Pause(d.Addr, s.On)
		case "store":
			f.Platform.SetDown(s.On)
		case "cut":
			f.Net.Partition("riga", "daugavpils", s.On)
		}
		time.Sleep(s.Wait)
	}
	f.Platform.SetDown(false)
	f.Net.Partition("riga", "daugavpils", false)
	for _, d := range f.Daemons() {
		f.Net.Pause(d.Addr, false)
	}
	// A dead daemon is gone after 30 s; a forwarder that has just taken over starts counting
	// from zero.
	time.Sleep(100 * time.Second)
	return differences(f, states)
}

func differences(f *emul.Fleet, states map[*emul.Daemon]peers.State) []string {
	var out []string
	for _, of := range f.Daemons() {
		want := peers.Gone
		if of.Running() {
			want = peers.Ready
			if st, ok := states[of]; ok {
				want = st
			}
		}
		for _, at := range f.Daemons() {
			if at.Running() && state(at, of) != want {
				out = append(out, fmt.Sprintf("%s has %s as %s, not %s", at.Addr, of.Addr, state(at, of), want))
			}
			if !at.Running() || want == peers.Gone {
				continue
			}
			for _, s := range at.Registry.Servers(of.Service) {
				if s.Addr == of.HTTP() && at.Registry.IsSuspect(s) {
					out = append(out, fmt.Sprintf("%s suspects %s", at.Addr, of.Addr))
				}
			}
		}
	}
	return out
}
