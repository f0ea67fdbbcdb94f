package route

import (
	"sync/atomic"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// ChooseFunc has the signature of Chooser.Choose. The functions that return one are
// baselines for comparison with Chooser in simulations; daemons do not use them.
type ChooseFunc func(Request, []peers.Server) (Pick, error)

// usable returns the servers that are ready and not excluded.
func usable(req *Request, servers []peers.Server) []peers.Server {
	out := make([]peers.Server, 0, len(servers))
	for _, s := range servers {
		if s.State == peers.Ready && !req.excludes(s.Addr) {
			out = append(out, s)
		}
	}
	return out
}

func baseline(index func(list []peers.Server) int) ChooseFunc {
	return func(req Request, servers []peers.Server) (Pick, error) {
		list := usable(&req, servers)
		if len(list) == 0 {
			return Pick{}, refuse.NotRun(refuse.NoServer, "no usable server of "+string(req.Service))
		}
		return Pick{Server: list[index(list)], Done: func(Outcome) {}}, nil
	}
}

// RandomChoice returns a function that chooses a usable server uniformly at random.
func RandomChoice(random func() uint64) ChooseFunc {
	return baseline(func(list []peers.Server) int { return int(random() % uint64(len(list))) })
}

// RoundRobin returns a function that chooses the usable servers in turn.
func RoundRobin() ChooseFunc {
	var next atomic.Uint64
	return baseline(func(list []peers.Server) int { return int(next.Add(1) % uint64(len(list))) })
}

// LeastReported returns a function that chooses the usable server with the lowest reported load.
func LeastReported(load func(ident.Addr) ident.Units) ChooseFunc {
	return baseline(func(list []peers.Server) int {
		best := 0
		for i := range list {
			if load(list[i].Addr) < load(list[best].Addr) {
				best = i
			}
		}
		return best
	})
}
