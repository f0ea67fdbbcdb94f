package mesh

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// TestRestartRemembersDeparture guards against a backend server that is in use again after it left, because the
// daemon beside it was restarted and then received a delayed heartbeat.
func TestRestartRemembersDeparture(t *testing.T) {
	tests := map[string]struct {
		leave  func(n *testNode) error
		outage emul.Outage // during the restart
	}{
		"left, from the store":          {func(n *testNode) error { return n.ServerLeft(n.backend.id, 1) }, emul.NoOutage},
		"draining, from the store":      {func(n *testNode) error { return n.report(Draining) }, emul.NoOutage},
		"left, from another daemon":     {func(n *testNode) error { return n.ServerLeft(n.backend.id, 1) }, emul.Rejecting},
		"draining, from another daemon": {func(n *testNode) error { return n.report(Draining) }, emul.Rejecting},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, a, b := twoNodes(t)
			is.Equal(b.call(t.Context(), "/s/get/").Refusal, nil)
			_, err := b.linkTo(t.Context(), ident.Addr(a.addr))
			is.NoErr(err)
			is.NoErr(tt.leave(a))
			b.waitForServers(t, "s", 1)
			eventually(t, "entry says that the server left", func() bool {
				a.mu.Lock()
				defer a.mu.Unlock()
				return a.entry.writtenSeq == a.Node.seq
			})
			r.store.SetOutage(tt.outage)
			a.kill()
			r.start(a)
			a.heartbeat(Ready) // sent before it left
			eventually(t, "the server is not in use", func() bool { return a.slots.Status().Closed })
			r.store.SetOutage(emul.NoOutage)
			b.waitForServers(t, "s", 1)
			ran := a.backend.total.Load()
			for range 5 {
				is.Equal(string(b.call(t.Context(), "/s/get/").Body), "ok "+b.backend.id)
			}
			is.Equal(a.backend.total.Load(), ran)
			is.NoErr(a.HandleHeartbeat(Heartbeat{ID: "i-new", Service: "s", Addr: a.backend.addr, Slots: 4, State: Ready, Seq: 1, Started: time.Now().UnixMilli()}))
			is.True(!a.slots.Status().Closed) // a new process
		})
	}
}
