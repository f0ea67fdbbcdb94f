package peers_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// BenchmarkHeartbeat encodes and decodes a heartbeat in its full form.
func BenchmarkHeartbeat(b *testing.B) {
	h := peers.Heartbeat{
		Addr: "10.0.0.1:7001", DataCentre: "riga-a", Incarnation: 1_780_000_000_000, Version: 1300, Seq: 12, Used: 1 << 60,
	}
	for b.Loop() {
		body, err := wire.Encode(h)
		if err != nil {
			b.Fatal(err)
		}
		var out peers.Heartbeat
		if err := wire.Decode(body, &out); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRegistry applies a change to one of 1,900 servers in 60 services, and reports
// the memory per server.
func BenchmarkRegistry(b *testing.B) {
	const servers, services = 1900, 60
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := peers.NewRegistry()
	apply := func(i int, seq uint64) {
		s := server(ident.Addr(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)), peers.Ready, 1, seq)
		s.Service = ident.ServiceID(fmt.Sprintf("service-%d", i%services))
		if !r.Apply(s) {
			b.Fatalf("server %d was not applied", i)
		}
	}
	for i := range servers {
		apply(i, 1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	seq := uint64(1)
	for b.Loop() {
		seq++
		apply(0, seq)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/servers, "bytes/server")
}
