package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
)

// TestRestartsRememberDeparture guards against a backend server that is in use again after it left, because the
// daemon beside it was killed before it had a heartbeat of it, or was restarted more than once.
func TestRestartsRememberDeparture(t *testing.T) {
	first, second := serverReport{"i-1", 100, 9, Ready}, serverReport{"i-2", 200, 1, Ready}
	left := func(r serverReport) serverReport { r.state = Gone; return r }
	tests := map[string]struct {
		lives  [][]serverReport // each ends with a kill, but for the last one
		outage emul.Outage      // during the last restart
		want   string
		lag    time.Duration // how far the clock was set back before the last restart
	}{
		"killed before a heartbeat": {
			lives: [][]serverReport{{left(first)}, {first}},
		},
		"killed before a heartbeat, store unavailable": {
			lives: [][]serverReport{{left(first)}, {first}}, outage: emul.Rejecting,
		},
		"killed twice": {
			lives: [][]serverReport{{first, left(first)}, {}, {first}},
		},
		"killed twice, store unavailable": {
			lives: [][]serverReport{{first, left(first)}, {}, {first}}, outage: emul.Rejecting,
		},
		"killed three times": {
			lives: [][]serverReport{{left(first)}, {}, {}, {first}},
		},
		"earlier server known": {
			lives: [][]serverReport{{first, left(second)}, {second}},
		},
		"earlier server in use meanwhile": {
			lives: [][]serverReport{{first, left(second)}, {first}, {second}},
		},
		"start not stated": {
			lives: [][]serverReport{{{"i-1", 0, 0, Gone}}, {}, {first}},
		},
		"start not stated, store unavailable": {
			lives: [][]serverReport{{{"i-1", 0, 0, Gone}}, {first}}, outage: emul.Rejecting,
		},
		"start not stated, later process of the id known": {
			lives: [][]serverReport{{{"i-1", 0, 0, Gone}}, {{"i-1", afterTest, 1, Ready}}, {{"i-1", afterTest, 2, Ready}}}, want: fmt.Sprint("i-1/", afterTest),
		},
		"clock set back": {
			lives: [][]serverReport{{first, left(first)}, {first}}, lag: time.Hour,
		},
		"clock set back, store unavailable": {
			lives: [][]serverReport{{first, left(first)}, {first}}, outage: emul.Rejecting, lag: time.Hour,
		},
		"later server": {
			lives: [][]serverReport{{first, left(first)}, {second}, {second}}, want: "i-2/200",
		},
		"later server, first seen after the restart": {
			lives: [][]serverReport{{left(first)}, {}, {first, second}}, want: "i-2/200",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSyncFleet(t, 2, 2)
				defer f.stopAll()
				f.startAll()
				n, other := f.nodes[0], f.nodes[3]
				for i, reports := range tt.lives {
					if i == len(tt.lives)-1 {
						f.store.SetOutage(tt.outage)
						n.clockLag = tt.lag
					}
					f.kill(n)
					time.Sleep(500 * time.Millisecond)
					f.startAlone(n, f.driver(n))
					_, err := other.linkTo(t.Context(), n.addr) // as for a call
					is.NoErr(err)
					time.Sleep(900 * time.Millisecond)
					for _, r := range reports {
						is.NoErr(r.send(n.Node))
						time.Sleep(300 * time.Millisecond)
					}
					time.Sleep(2 * time.Second) // for the entry to reach the others
				}
				is.Equal(n.slots.Status().Closed, tt.want == "")
				is.Equal(other.inUse(n.addr), tt.want)
			})
		})
	}
}

// TestEntryWithoutDeparture guards against a backend server that is in use again after it left, because the store did
// not hold that, as after an outage or a restore, and the others had the entry of the daemon's next process from the
// store before they had a link to it.
func TestEntryWithoutDeparture(t *testing.T) {
	tests := map[string][]serverReport{ // of the next process, before the others link to it
		"no heartbeat":   nil,
		"late heartbeat": {{"i-1", 100, 19, Ready}},
	}
	for name, reports := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSyncFleet(t, 2, 2)
				defer f.stopAll()
				f.startAll()
				n, other := f.nodes[0], f.nodes[3]
				beat := serverReport{"i-1", 100, 9, Ready}
				beat.born += n.currentServer().Born // later than the server of the start
				is.NoErr(beat.send(n.Node))
				time.Sleep(2 * time.Second)
				_, err := other.linkTo(t.Context(), n.addr) // as for a call
				is.NoErr(err)
				f.store.SetOutage(emul.Rejecting)
				is.NoErr(n.ServerLeft(beat.id, beat.born))
				time.Sleep(100 * time.Millisecond)
				f.kill(n)
				f.store.SetOutage(emul.NoOutage)
				f.startAlone(n, f.driver(n))
				for _, r := range reports {
					r.born = beat.born
					is.NoErr(r.send(n.Node))
				}
				self := n.self()
				for _, o := range f.nodes[1:] {
					o.updatePeer(self, false) // the store is faster than the links
				}
				time.Sleep(3 * time.Second)
				beat.seq = 20
				is.NoErr(beat.send(n.Node))
				time.Sleep(time.Second)
				is.True(n.slots.Status().Closed)
				is.Equal(other.inUse(n.addr), "")
			})
		})
	}
}

// TestStopRemembersDeparture guards against a backend server that is in use again after it left, because the daemon
// beside it removed its entry when it was stopped, and the other daemons forgot it before it was started again.
func TestStopRemembersDeparture(t *testing.T) {
	tests := map[string]struct {
		whileStopping bool          // the leave was acknowledged
		pause         time.Duration // until the next start
		serverID      string        // of the late heartbeat; empty: the one that left
		want          string
	}{
		"started soon":                        {false, 500 * time.Millisecond, "", ""},
		"started late":                        {false, 2 * missingTime, "", ""},
		"left while stopping":                 {true, 500 * time.Millisecond, "", ""},
		"left while stopping, started late":   {true, 2 * missingTime, "", ""},
		"another server, daemon started late": {false, 2 * missingTime, "i-2", "i-2"},
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
				if !tt.whileStopping {
					is.NoErr(n.ServerLeft(left.ID, left.Born))
					time.Sleep(time.Second)
				}
				n.Drain(t.Context())
				if tt.whileStopping {
					is.NoErr(n.ServerLeft(left.ID, left.Born))
				}
				time.Sleep(time.Second)
				n.Close(t.Context())
				f.kill(n)
				f.kill(f.nodes[1]) // all daemons are restarted in turn
				f.start(f.nodes[1])
				time.Sleep(tt.pause)
				f.startAlone(n, f.driver(n))
				time.Sleep(900 * time.Millisecond)
				late := serverReport{left.ID, left.Born, 19, Ready}
				if tt.serverID != "" {
					late.id = tt.serverID
				}
				is.NoErr(late.send(n.Node))
				time.Sleep(2 * time.Second)
				is.Equal(n.slots.Status().Closed, tt.want == "")
				is.Equal(other.inUse(n.addr) != "", tt.want != "")
			})
		})
	}
}

// TestRestoredStoreLacksDeparture guards against a backend server that is in use again after it left, because the
// store came back from a copy of before while the daemon beside it was restarted.
func TestRestoredStoreLacksDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSyncFleet(t, 2, 2)
		defer f.stopAll()
		f.startAll()
		n, other := f.nodes[0], f.nodes[3]
		left := n.currentServer()
		_, err := other.linkTo(t.Context(), n.addr) // as for a call
		is.NoErr(err)
		earlier := f.store.Copy()
		is.NoErr(n.ServerLeft(left.ID, left.Born))
		n.AwaitDeparture(t.Context())
		f.kill(n)
		f.store.Restore(earlier)
		f.startAlone(n, f.driver(n))
		time.Sleep(900 * time.Millisecond)
		is.NoErr(serverReport{left.ID, left.Born, 19, Ready}.send(n.Node))
		time.Sleep(3 * time.Second)
		is.True(n.slots.Status().Closed)
		is.Equal(other.inUse(n.addr), "")
	})
}
