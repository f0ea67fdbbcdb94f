package dedup

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	_ "github.com/marjoramcroft/marjoramcroft/seed" // makes the cases the same in each run
)

// step is one event of a random schedule: a fault or recovery at a node, then a wait.
type step struct {
	Kind string
	Node int
	Wait time.Duration
}

var stepKinds = []string{
	"kill", "restart", "restart clean", "hold", "resume", "cut", "join", "add", "lose", "lose none",
	"retire", "leave",
}

func genStep(t *rapid.T) step {
	waits := []time.Duration{0, 10 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second, time.Minute, 9 * time.Minute}
	return step{
		Kind: rapid.SampledFrom(stepKinds).Draw(t, "kind"),
		Node: rapid.IntRange(0, 5).Draw(t, "node"),
		Wait: rapid.SampledFrom(waits).Draw(t, "wait"),
	}
}

// apply performs the step on the simulation.
func (s *sim) apply(st step) {
	addr := ident.Addr(fmt.Sprintf("vm-%d:7000", st.Node))
	n := s.node(addr)
	if n == nil {
		if st.Kind == "add" && s.add(addr) {
			n = &node{s: s, addr: addr}
			n.start()
			s.mu.Lock()
			s.nodes[addr] = n
			s.mu.Unlock()
		}
		return
	}
	p := n.process.Load()
	idle := p.ctx.Err() == nil && n.pause.Load() == nil && !n.partitioned.Load()
	switch st.Kind {
	case "kill":
		p.cancel()
	case "restart":
		p.cancel()
		n.start()
	case "restart clean":
		if idle {
			n.stop()
			n.start()
		}
	case "hold":
		n.suspend()
	case "resume":
		n.resume()
	case "cut":
		n.partitioned.Store(true)
	case "join":
		n.partitioned.Store(false)
	case "lose", "lose none":
		s.mu.Lock()
		s.lossRate = map[string]float64{"lose": 0.4}[st.Kind]
		s.mu.Unlock()
	case "retire":
		p.cancel()
		s.remove(addr, true)
	case "leave":
		if idle && p.table.HandOverAll(p.ctx) == nil {
			s.remove(addr, false)
		}
		p.cancel()
	}
}

// Guards against any sequence of faults that makes the call of a key run twice.
func TestKeyRunsAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Int64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Custom(genStep), 1, 25).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			s := newSim(t.Context(), seed, 4)
			defer s.stop()
			// Callers repeat requests, each key for at most 9 min.
			for i := range 6 {
				go s.caller(i)
			}
			for _, st := range steps {
				s.apply(st)
				time.Sleep(st.Wait)
			}
			time.Sleep(5 * time.Second)
			for _, a := range s.addrs() {
				s.node(a).resume()
			}
			time.Sleep(10 * time.Second)
			s.mu.Lock()
			defer s.mu.Unlock()
			violations = s.violations
		})
		if len(violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
	})
}

func (s *sim) addrs() []ident.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ident.Addr
	for i := range 6 {
		a := ident.Addr(fmt.Sprintf("vm-%d:7000", i))
		if s.nodes[a] != nil {
			out = append(out, a)
		}
	}
	return out
}

// caller repeats requests with one key at random entry daemons, then takes a new key.
func (s *sim) caller(i int) {
	answers := []Answer{
		{Ran: refuse.RanYes, Kept: true, Status: 200, Body: []byte("done")},
		{Ran: refuse.RanNo},
		{Ran: refuse.RanUnknown},
	}
	for k := 0; s.ctx.Err() == nil; k++ {
		key := Key(fmt.Sprintf("key-%d-%d", i, k))
		for begin := time.Now(); time.Since(begin) < 9*time.Minute && s.ctx.Err() == nil; {
			addrs := s.addrs()
			n := s.node(addrs[int(s.randFloat()*float64(len(addrs)))])
			ans := answers[int(s.randFloat()*3)]
			go n.send(key, 1, time.Duration(s.randFloat()*float64(3*time.Second)), ans)
			time.Sleep(time.Duration(s.randFloat() * s.randFloat() * float64(time.Minute)))
		}
	}
}
