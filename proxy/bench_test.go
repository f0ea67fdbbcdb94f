package proxy

import (
	"fmt"
	"io"
	"log"
	"testing"
	"time"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// newBench returns a rig on loopback with one daemon and policies that cost almost nothing.
func newBench(b *testing.B) *rig {
	g := newRigOn(emul.NewLoopback(), b, 1, func(c *emul.BackendConfig) { c.Slots, c.AnnounceInterval = 100, time.Hour })
	b.Cleanup(g.close)
	log.SetOutput(io.Discard)
	return g
}

// bare returns a copy of e without the rig's recording of choices, stats and logs.
func (g *rig) bare(e *Entry) *Entry {
	d := e.d
	d.Stats, d.Log, d.Retry.HedgeAfter = stats.New(), event.Discard(), nil
	d.Choose = func(RouteRequest) (Pick, error) {
		return Pick{Addr: "d0", Done: func(Outcome) {}}, nil
	}
	return NewEntry(d)
}

// BenchmarkAdded measures the latency and CPU time that the mesh adds to a call. Direct calls
// to the same backend server alternate with it in the same run.
//
//	  go test ./proxy -run xxx -bench Added -benchtime 20000x
//
//		go test ./proxy -run xxx -bench Added -benchtime 20000x
func BenchmarkAdded(b *testing.B) {
	for _, local := range []bool{false, true} {
		for _, callers := range []int{1, 8} {
			b.Run(fmt.Sprintf("local=%v/callers=%d", local, callers), func(b *testing.B) {
				g := newBench(b)
				e := NewEntry(g.entryDeps("e", nil))
				if local {
					e = NewEntry(g.entryDeps("d0", g.targets[0]))
				}
				g.serve("e", g.bare(e))
				b.ResetTimer()
				c, err := emul.Compare(b.Context(), emul.CompareConfig{
					Direct: "b0", Mesh: "e", Member: "office", Path: "/safe?time=0s&size=200",
					Callers: callers, Calls: b.N, Dial: g.net.Dial,
				})
				if err != nil {
					b.Fatal(err)
				}
				report(b, c)
			})
		}
	}
}

// BenchmarkChain measures a chain of 13 calls, each through the entry beside the backend
// server that makes the call, against one direct call.
//
//	go test ./proxy -run xxx -bench Chain -benchtime 2000x
func BenchmarkChain(b *testing.B) {
	g := newBench(b)
	c, err := emul.Compare(b.Context(), emul.CompareConfig{
		Direct: "b0", Mesh: "d0", Member: "office", Path: "/safe?time=0s", MeshPath: "/chain/12?time=0s",
		Callers: 1, Calls: b.N, Dial: g.net.Dial,
	})
	if err != nil {
		b.Fatal(err)
	}
	report(b, c)
}

func report(b *testing.B, c emul.Comparison) {
	µs := func(d time.Duration) float64 { return float64(d.Microseconds()) }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(µs(c.Direct.P50), "direct-p50-µs")
	b.ReportMetric(µs(c.Mesh.P50-c.Direct.P50), "added-p50-µs")
	b.ReportMetric(µs(c.Direct.P99), "direct-p99-µs")
	b.ReportMetric(µs(c.Mesh.P99-c.Direct.P99), "added-p99-µs")
	b.ReportMetric(µs(c.MeshCPU-c.DirectCPU), "added-cpu-µs")
}
