package peers

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// TestOutboxKeepsOrder guards against a daemon that stays suspect at a receiver which is told of its return first.
func TestOutboxKeepsOrder(t *testing.T) {
	row := func(seq uint64) Server {
		return Server{Service: "lessons", Addr: "p", Control: "pc", State: Ready, Incarnation: 1, Seq: seq}
	}
	suspect := func(a *Agent, _ uint64) { a.markSuspect(Suspect{Control: "pc"}, fromSelf) }
	announce := func(a *Agent, seq uint64) { a.d.Registry.Apply(row(seq)) }
	for name, steps := range map[string][]func(a *Agent, seq uint64){
		"suspect":                  {suspect},
		"announced after":          {suspect, announce},
		"announced before":         {announce, suspect},
		"suspect again":            {suspect, announce, suspect},
		"announced and again":      {announce, suspect, announce},
		"announced, nothing wrong": {announce},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				forwarder, receiver := outboxAgent("f"), outboxAgent("r")
				near, far := net.Pipe()
				c, served := wire.NewConn(near, forwarder.Handle), wire.NewConn(far, receiver.Handle)
				for _, c := range []*wire.Conn{c, served} {
					go func() { _ = c.Serve() }()
					defer func() { _ = c.Close() }()
				}
				forwarder.subs.set(c, []ServiceDigest{{Service: "lessons"}})
				announce(forwarder, 1)
				time.Sleep(time.Second)
				for i, step := range steps {
					step(forwarder, uint64(2+i))
				}
				time.Sleep(time.Second)
				list := receiver.d.Registry.Servers("lessons")
				is.Equal(list, forwarder.d.Registry.Servers("lessons"))
				is.Equal(receiver.d.Registry.IsSuspect(list[0]), forwarder.d.Registry.IsSuspect(list[0]))
			})
		})
	}
}

func outboxAgent(addr ident.Addr) *Agent {
	return New(Deps{Addr: addr, Registry: NewRegistry(), Stats: stats.New(), Log: event.Discard()})
}
