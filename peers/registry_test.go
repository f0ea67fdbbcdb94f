package peers_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
)

func server(addr ident.Addr, st peers.State, inc ident.Incarnation, seq uint64) peers.Server {
	return peers.Server{
		Service: "lessons", Addr: addr, Control: addr + "c", State: st, Incarnation: inc, Seq: seq,
		Place: ident.Place{Region: "riga", DataCentre: "riga-a"},
	}
}

// Each case guards against an announcement that replaces a newer one or is ignored.
func TestApplyOrders(t *testing.T) {
	known := server("a", peers.Ready, 5, 10)
	for name, tt := range map[string]struct {
		s    peers.Server
		want bool
	}{
		"same again":                              {known, false},
		"older number":                            {server("a", peers.Draining, 5, 9), false},
		"newer number":                            {server("a", peers.Draining, 5, 11), true},
		"earlier incarnation with higher number":  {server("a", peers.Draining, 4, 99), false},
		"later incarnation with lower number":     {server("a", peers.Starting, 6, 1), true},
		"gone under the same number":              {server("a", peers.Gone, 5, 10), true},
		"gone in an earlier incarnation":          {server("a", peers.Gone, 4, 10), false},
		"draining under the same number":          {server("a", peers.Draining, 5, 10), false},
		"another address of the same service":     {server("b", peers.Ready, 1, 1), true},
		"gone under an older number of this life": {server("a", peers.Gone, 5, 9), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := peers.NewRegistry()
			is.True(r.Apply(known))
			calls := 0
			r.Watch(func(peers.Server) { calls++ })
			is.Equal(r.Apply(tt.s), tt.want)
			is.Equal(calls == 1, tt.want)
		})
	}
}

// Guards against a list that is unordered, contains a gone server, or changes after it was
// returned.
func TestServersList(t *testing.T) {
	is := is.New(t)
	r := peers.NewRegistry()
	for _, a := range []ident.Addr{"c", "a", "b"} {
		is.True(r.Apply(server(a, peers.Ready, 1, 1)))
	}
	before := r.Servers("lessons")
	is.True(r.Apply(server("b", peers.Gone, 1, 1)))
	after := r.Servers("lessons")
	is.Equal([]ident.Addr{before[0].Addr, before[1].Addr, before[2].Addr}, []ident.Addr{"a", "b", "c"})
	is.Equal([]ident.Addr{after[0].Addr, after[1].Addr}, []ident.Addr{"a", "c"})
	is.True(!r.Apply(server("b", peers.Ready, 1, 1))) // a late message does not restore it
	is.Equal(len(r.Servers("lessons")), 2)
	is.Equal(len(r.Servers("unknown")), 0)
}

// Guards against ignoring a refused connection, and against a suspicion that outlasts a
// later announcement of the server.
func TestRefusedIsSuspect(t *testing.T) {
	is := is.New(t)
	r := peers.NewRegistry()
	s := server("a", peers.Ready, 1, 1)
	is.True(r.Apply(s))
	is.True(!r.IsSuspect(s))
	r.MarkRefused(s.Addr)
	is.True(r.IsSuspect(s))
	s = server("a", peers.Ready, 2, 1)
	is.True(r.Apply(s))
	is.True(!r.IsSuspect(s))
}
