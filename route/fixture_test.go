package route

import (
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

var here = ident.Place{Region: "Riga", DataCentre: "riga-a"}

// splitMix returns a seeded random source that is not safe for concurrent use.
func splitMix(seed uint64) func() uint64 {
	return func() uint64 {
		seed += 0x9e3779b97f4a7c15
		return ident.RendezvousScoreOfHashes(seed, seed>>31)
	}
}

func newChooser() *Chooser {
	return New(Deps{Config: DefaultConfig(), Place: here, Random: splitMix(1), Stats: stats.New(), Log: event.Discard()})
}

// servers returns n ready servers, spread over the places in turn.
func servers(n int, places ...ident.Place) []peers.Server {
	out := make([]peers.Server, n)
	for i := range out {
		out[i] = peers.Server{
			Service: "lessons", Addr: ident.Addr(fmt.Sprintf("127.0.0.%d:80", i+1)),
			Place: places[i%len(places)], Slots: 9, State: peers.Ready, Incarnation: 1,
		}
	}
	return out
}

// sendCalls sends n calls, each of which takes latency(addr), and counts them per server.
func sendCalls(c *Chooser, list []peers.Server, n int, latency func(ident.Addr) time.Duration) map[ident.Addr]int {
	got := map[ident.Addr]int{}
	for range n {
		p, err := c.Choose(Request{Service: "lessons", Member: "office", Class: agree.Short}, list)
		if err != nil {
			continue
		}
		got[p.Server.Addr]++
		time.Sleep(latency(p.Server.Addr))
		p.Done(Outcome{Latency: latency(p.Server.Addr)})
	}
	return got
}

func constant(d time.Duration) func(ident.Addr) time.Duration {
	return func(ident.Addr) time.Duration { return d }
}
