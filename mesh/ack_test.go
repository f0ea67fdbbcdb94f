package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
)

// TestAcknowledgedLeaveOutlivesKill guards against a backend server that is in use again after its leave was
// acknowledged, because the daemon was killed right after that.
func TestAcknowledgedLeaveOutlivesKill(t *testing.T) {
	tests := map[string]struct {
		state   State
		unknown bool // no heartbeat of the server before
		outage  emul.Outage
		delay   time.Duration // of each call to the store
	}{
		"left":                              {state: Gone},
		"draining":                          {state: Draining},
		"left, slow store":                  {state: Gone, delay: 400 * time.Millisecond},
		"left, store unavailable":           {state: Gone, outage: emul.Rejecting},
		"draining, store silent":            {state: Draining, outage: emul.Silent},
		"unknown server left":               {state: Gone, unknown: true},
		"unknown server left, no store":     {state: Gone, unknown: true, outage: emul.Rejecting},
		"unknown server left, store silent": {state: Gone, unknown: true, outage: emul.Silent},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSyncFleet(t, 2, 2)
				defer f.stopAll()
				f.startAll()
				n, other := f.nodes[0], f.nodes[3]
				left := n.currentServer()
				if tt.unknown {
					f.kill(n)
					f.startAlone(n, f.driver(n))
					time.Sleep(800 * time.Millisecond)
				}
				_, err := other.linkTo(t.Context(), n.addr) // as for a call
				is.NoErr(err)
				time.Sleep(100 * time.Millisecond)
				f.store.SetOutage(tt.outage)
				f.store.SetDelay(tt.delay)
				began := time.Now()
				is.NoErr(serverReport{left.ID, left.Born, 18, tt.state}.send(n.Node))
				is.True(n.slots.Status().Closed) // before the acknowledgement
				n.AwaitDeparture(t.Context())
				is.True(time.Since(began) <= departureWait)
				if tt.outage == emul.NoOutage {
					is.True(time.Since(began) < departureWait) // in the store
				}
				f.kill(n) // right after the acknowledgement
				f.store.SetOutage(emul.NoOutage)
				f.store.SetDelay(0)
				f.startAlone(n, f.driver(n))
				time.Sleep(900 * time.Millisecond)
				is.NoErr(serverReport{left.ID, left.Born, 17, Ready}.send(n.Node))
				time.Sleep(time.Second)
				is.True(n.slots.Status().Closed)
				is.Equal(other.inUse(n.addr), "")
			})
		})
	}
}

// TestRepeatedLeaveWaitsOnce guards against each heartbeat of a draining backend server that waits for the store,
// although the store has its departure.
func TestRepeatedLeaveWaitsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSyncFleet(t, 2, 2)
		defer f.stopAll()
		f.startAll()
		n := f.nodes[0]
		left := n.currentServer()
		is.NoErr(serverReport{left.ID, left.Born, 18, Draining}.send(n.Node))
		n.AwaitDeparture(t.Context())
		f.store.SetOutage(emul.Silent)
		n.observeStoreLatency(1) // changes the state without a write
		began := time.Now()
		is.NoErr(serverReport{left.ID, left.Born, 19, Draining}.send(n.Node))
		n.AwaitDeparture(t.Context())
		is.Equal(time.Since(began), time.Duration(0))
	})
}
