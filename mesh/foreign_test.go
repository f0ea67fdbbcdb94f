package mesh

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// TestForeignHeartbeat guards against a backend server that is out of use for good after one heartbeat of another writer
// for its address.
func TestForeignHeartbeat(t *testing.T) {
	tests := map[string]struct {
		change  func(h *Heartbeat) // of the server's own next heartbeat
		invalid bool               // cannot be from a backend server, and is refused
	}{
		"service that no configuration names": {func(h *Heartbeat) { h.Service = "x" }, true},
		"the same as another server":          {func(h *Heartbeat) { h.ID, h.Service = "x", "x" }, true},
		"the same as a later process":         {func(h *Heartbeat) { h.Service, h.Started = "x", h.Started+1 }, true},
		"the same, leaving":                   {func(h *Heartbeat) { h.Service, h.Started, h.State = "x", h.Started+1, Draining }, true},
		"largest start":                       {func(h *Heartbeat) { h.Started = math.MaxInt64 }, true},
		"largest start, another server":       {func(h *Heartbeat) { h.ID, h.Started = "x", math.MaxInt64 }, true},
		"smallest start":                      {func(h *Heartbeat) { h.Started = math.MinInt64 }, true},
		"start next week":                     {func(h *Heartbeat) { h.Started += 7 * 24 * 3600 * 1000 }, false},
		"largest number of slots":             {func(h *Heartbeat) { h.Slots = math.MaxInt64 }, true},
		"largest warm-up":                     {func(h *Heartbeat) { h.WarmUp = math.MaxInt64 }, true},
		"valid, of a later process":           {func(h *Heartbeat) { h.Started++ }, false},
		"valid, of another server":            {func(h *Heartbeat) { h.ID, h.Started = "x", h.Started+1 }, false},
		"valid, largest seq":                  {func(h *Heartbeat) { h.Seq = math.MaxInt64 }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSyncFleet(t, 2, 2)
				defer f.stopAll()
				f.startAll()
				n, other := f.nodes[0], f.nodes[3]
				cur := n.currentServer()
				own := Heartbeat{ID: cur.ID, Service: "s", Addr: "x:1", Slots: 4, State: Ready, Seq: 1, Started: cur.Born}
				want := other.inUse(n.addr)
				is.True(want != "")
				beat := func() {
					time.Sleep(time.Second)
					own.Seq++
					is.NoErr(n.HandleHeartbeat(own))
				}
				beat()
				foreign := own
				foreign.Seq++
				tt.change(&foreign)
				is.Equal(n.HandleHeartbeat(foreign) != nil, tt.invalid)
				if !tt.invalid { // it can't be told from a heartbeat of the server, until that is heard again and again
					for range 10 {
						beat()
					}
				}
				for range 5 {
					beat()
					is.True(!n.slots.Status().Closed)
					is.Equal(other.inUse(n.addr), want)
				}
				own.State = Draining
				beat()
				time.Sleep(time.Second)
				is.Equal(other.inUse(n.addr), "") // its own heartbeats count
			})
		})
	}
}

// TestLateHeartbeatsOfFormerProcess guards against a process that has ended being in use again, as its heartbeats were
// delayed.
func TestLateHeartbeatsOfFormerProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSyncFleet(t, 2, 2)
		defer f.stopAll()
		f.startAll()
		n := f.nodes[0]
		cur := n.currentServer()
		former := Heartbeat{ID: cur.ID, Service: "s", Addr: "x:1", Slots: 4, State: Ready, Seq: 1, Started: cur.Born}
		next := former
		next.ID, next.Started, next.Seq = "next", cur.Born+5, 0
		for range 30 { // the next process is heard as well
			next.Seq++
			is.NoErr(n.HandleHeartbeat(next))
			former.Seq++
			is.NoErr(n.HandleHeartbeat(former))
			is.Equal(n.currentServer().ID, "next")
			time.Sleep(time.Second)
		}
		is.NoErr(n.ServerLeft("next", next.Started))
		for range 30 { // it has left, which a process before it does not undo
			former.Seq++
			is.NoErr(n.HandleHeartbeat(former))
			is.True(n.slots.Status().Closed)
			time.Sleep(time.Second)
		}
	})
}

// TestServiceNamedLater guards against a backend server that is refused because no configuration has come yet.
func TestServiceNamedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSyncFleet(t, 2, 2)
		defer f.stopAll()
		n := f.nodes[0]
		f.startAlone(n, f.driver(n))
		h := Heartbeat{ID: "i", Service: "s", Addr: "x:1", Slots: 4, State: Ready, Seq: 1, Started: time.Now().UnixMilli()}
		is.NoErr(n.HandleHeartbeat(h)) // that of the VM
		f.accept(1)
		time.Sleep(3 * time.Second)
		is.Equal(n.currentServer().Service, ident.ServiceID("s"))
		is.True(!n.slots.Status().Closed)
	})
}

// TestForeignLeave guards against a backend server that is out of use after a leave request with a start that it cannot
// have.
func TestForeignLeave(t *testing.T) {
	tests := map[string]int64{"largest start": math.MaxInt64, "smallest start": math.MinInt64}
	for name, born := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSyncFleet(t, 2, 2)
				defer f.stopAll()
				f.startAll()
				n := f.nodes[0]
				is.True(n.ServerLeft(n.currentServer().ID, born) != nil)
				is.True(!n.slots.Status().Closed)
			})
		})
	}
}
