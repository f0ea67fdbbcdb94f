package quota

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/race"
	_ "github.com/marjoramcroft/marjoramcroft/seed" // makes each run use the same cases
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// step is a fault at a node in a random schedule, followed by a wait.
type step struct {
	Kind string
	Node int
	Wait time.Duration
}

func (st step) String() string { return fmt.Sprintf("%s %d, wait %s", st.Kind, st.Node, st.Wait) }

var stepKinds = []string{
	"kill", "kill keeper", "start", "restart", "restart clean", "hold", "hold keeper", "resume",
	"cut", "cut region", "join", "store down", "store up", "lose responses", "lose answers",
	"lose none", "skew", "add", "retire", "leave",
}

func drawStep(t *rapid.T) step {
	waits := []time.Duration{0, 50 * time.Millisecond, time.Second, 4 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second}
	return step{
		Kind: rapid.SampledFrom(stepKinds).Draw(t, "kind"),
		Node: rapid.IntRange(0, 4).Draw(t, "node"),
		Wait: rapid.SampledFrom(waits).Draw(t, "wait"),
	}
}

// applyStep applies st.
func (s *sim) applyStep(st step) {
	n := s.nodes[st.Node%len(s.nodes)]
	switch st.Kind {
	case "kill":
		n.kill()
	case "start":
		if n.process.Load().dead() {
			n.start()
		}
	case "restart":
		n.kill()
		n.start()
	case "restart clean":
		if !n.process.Load().dead() && n.pause.Load() == nil && !n.partitioned.Load() {
			go n.restartClean()
		}
	case "hold":
		if n.pause.Load() == nil {
			n.suspend()
		}
	case "resume":
		n.resume()
	case "cut":
		n.partitioned.Store(true)
	case "cut region":
		for _, x := range s.nodes {
			x.partitioned.Store(x.region == 1)
		}
	case "join":
		for _, x := range s.nodes {
			x.partitioned.Store(false)
		}
	case "store down", "store up":
		s.store.setDown(st.Kind == "store down")
	case "lose responses":
		s.store.loseResponses(2)
	case "lose answers":
		s.setLoseAnswer(func(wire.Type) bool { return s.randFloat() < 0.4 })
	case "lose none":
		s.setLoseAnswer(nil)
	case "skew":
		n.skew.Store(int64(time.Duration(st.Node-2) * time.Hour))
	case "add":
		if len(s.nodes) < 8 {
			s.addNode(ident.Addr(fmt.Sprintf("vm-new%d:7000", len(s.nodes))))
		}
	default:
		s.applyKeeperStep(st, n)
	}
}

// applyKeeperStep applies a step that needs an elected keeper.
func (s *sim) applyKeeperStep(st step, n *node) {
	k := s.keeperNode()
	if k == nil {
		return
	}
	switch st.Kind {
	case "kill keeper":
		k.kill()
	case "hold keeper":
		if k.pause.Load() == nil {
			k.suspend()
		}
	case "retire":
		// Only a VM whose process and calls have ended is retired.
		if n != k && n.process.Load().dead() {
			time.Sleep(s.longTimeout + StopGrace)
			_ = k.process.Load().keeper.handleRetire(s.parentCtx, Retire{Service: testService, Addr: n.addr})
		}
	case "leave":
		p := n.process.Load()
		if n != k && !p.dead() && n.pause.Load() == nil {
			go func() {
				for p.holder.leaving.Store(true); p.holder.InUse() > 0 && !p.dead(); {
					time.Sleep(100 * time.Millisecond)
				}
				ctx, cancel := context.WithTimeout(p.ctx, 10*time.Second)
				defer cancel()
				if _, err := p.holder.Leave(ctx, true); err == nil {
					p.cancel()
				}
			}()
		}
	}
}

// Guards against any sequence of faults that lets calls of a member exceed its cap.
func TestCapHoldsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	n := 0
	rapid.Check(t, func(rt *rapid.T) {
		if n++; race.Enabled && n%4 != 0 {
			return // .ci/run runs all cases without the race detector, which is ten times as fast
		}
		seed := rapid.Int64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 25).Draw(rt, "steps")
		var over []string
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer time.Sleep(2 * time.Minute)
			defer cancel()
			s := newSim(ctx, seed, 5, 2, 11, 15*time.Second)
			time.Sleep(20 * time.Second)
			s.startLoad(ctx, member, 25)
			time.Sleep(5 * time.Second)
			for _, st := range steps {
				s.applyStep(st)
				time.Sleep(st.Wait)
			}
			time.Sleep(20 * time.Second)
			for _, n := range s.nodes {
				n.resume()
			}
			time.Sleep(time.Minute)
			s.runMu.Lock()
			over = s.violations
			s.runMu.Unlock()
		})
		if len(over) > 0 {
			rt.Fatalf("%d times above the cap, first: %s", len(over), over[0])
		}
	})
}
