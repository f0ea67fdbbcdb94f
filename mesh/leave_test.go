package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// serverReport is a heartbeat, or with state Gone a leave request, of the process of a backend server.
type serverReport struct {
	id        string
	born, seq int64
	state     State
}

func (r serverReport) send(n *Node) error {
	if r.state == Gone {
		return n.ServerLeft(r.id, r.born)
	}
	return n.HandleHeartbeat(Heartbeat{ID: r.id, Service: "s", Addr: "x:1", Slots: 4, State: r.state, Seq: r.seq, Started: r.born})
}

// inUse returns the backend servers that the daemon at addr has in use, as known to n.
func (n *syncNode) inUse(addr ident.Addr) string {
	p, ok := n.peers.get(addr)
	if !ok || !p.serves("s") {
		return ""
	}
	return fmt.Sprint(p.Server.ID, "/", p.Server.Born)
}

// afterTest is the start of a process after the virtual time of a test, in Unix milliseconds.
const afterTest int64 = 1e12

// TestLeaveOvertakesHeartbeat guards against a backend server that is in use after its leave was acknowledged, because
// a heartbeat that it sent before arrives only now.
func TestLeaveOvertakesHeartbeat(t *testing.T) {
	tests := map[string]struct {
		reports []serverReport
		want    string // server in use at the end
	}{
		"no server known": {
			[]serverReport{{"i-1", 100, 0, Gone}, {"i-1", 100, 19, Ready}}, "",
		},
		"earlier process of the id known": {
			[]serverReport{{"i-1", 100, 9, Ready}, {"i-1", 200, 0, Gone}, {"i-1", 200, 1, Ready}}, "",
		},
		"earlier server known": {
			[]serverReport{{"i-1", 100, 9, Ready}, {"i-2", 200, 0, Gone}, {"i-2", 200, 1, Ready}}, "",
		},
		"earlier server stays until the heartbeat": {
			[]serverReport{{"i-1", 100, 9, Ready}, {"i-2", 200, 0, Gone}, {"i-1", 100, 10, Ready}}, "i-1/100",
		},
		"two left, the first one's heartbeat last": {
			[]serverReport{{"i-1", 100, 0, Gone}, {"i-2", 200, 0, Gone}, {"i-2", 200, 1, Ready}, {"i-1", 100, 9, Ready}}, "",
		},
		"two left, the second one's heartbeat last": {
			[]serverReport{{"i-1", 100, 0, Gone}, {"i-2", 200, 0, Gone}, {"i-1", 100, 9, Ready}, {"i-2", 200, 1, Ready}}, "",
		},
		"heartbeat of an earlier process between": {
			[]serverReport{{"i-1", 100, 0, Gone}, {"i-0", 50, 9, Ready}, {"i-1", 100, 19, Ready}}, "",
		},
		"leave repeated, heartbeats late": {
			[]serverReport{{"i-1", 100, 0, Gone}, {"i-1", 100, 0, Gone}, {"i-1", 100, 18, Ready}, {"i-1", 100, 0, Gone}, {"i-1", 100, 19, Ready}}, "",
		},
		"leave, then draining": {
			[]serverReport{{"i-1", 100, 0, Gone}, {"i-1", 100, 20, Draining}, {"i-1", 100, 19, Ready}, {"i-1", 100, 21, Ready}}, "",
		},
		"draining, then leave": {
			[]serverReport{{"i-1", 100, 20, Draining}, {"i-1", 100, 0, Gone}, {"i-1", 100, 21, Ready}}, "",
		},
		"draining, then a server with the same start": {
			[]serverReport{{"i-1", 100, 20, Draining}, {"i-2", 100, 1, Ready}, {"i-1", 100, 21, Ready}}, "",
		},
		"start not stated": {
			[]serverReport{{"i-1", 0, 0, Gone}, {"i-1", 100, 19, Ready}}, "",
		},
		"start not stated, repeated": {
			[]serverReport{{"i-1", 0, 0, Gone}, {"i-1", 0, 0, Gone}, {"i-1", 100, 19, Ready}, {"i-1", 0, 0, Gone}, {"i-1", 100, 20, Ready}}, "",
		},
		"start not stated, earlier server known": {
			[]serverReport{{"i-1", 100, 9, Ready}, {"i-2", 0, 0, Gone}, {"i-2", 200, 1, Ready}}, "",
		},
		"start not stated, earlier process of the id known": {
			[]serverReport{{"i-1", 100, 9, Ready}, {"i-1", 0, 0, Gone}, {"i-1", 200, 1, Ready}}, "",
		},
		"start not stated, later server known": {
			[]serverReport{{"i-2", 200, 1, Ready}, {"i-1", 0, 0, Gone}, {"i-1", 100, 19, Ready}}, "i-2/200",
		},
		"start not stated, process starts after the leave": {
			[]serverReport{{"i-1", 0, 0, Gone}, {"i-1", 100, 19, Ready}, {"i-1", afterTest, 1, Ready}}, fmt.Sprint("i-1/", afterTest),
		},
		"later process of the id": {
			[]serverReport{{"i-1", 100, 0, Gone}, {"i-1", 200, 1, Ready}}, "i-1/200",
		},
		"later process of the id, leave repeated": {
			[]serverReport{{"i-1", 100, 0, Gone}, {"i-1", 200, 1, Ready}, {"i-1", 100, 0, Gone}, {"i-1", 100, 19, Ready}}, "i-1/200",
		},
		"later process at the address": {
			[]serverReport{{"i-1", 100, 0, Gone}, {"i-2", 200, 1, Ready}, {"i-1", 100, 20, Draining}, {"i-1", 100, 0, Gone}}, "i-2/200",
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
				f.kill(n)
				time.Sleep(500 * time.Millisecond)
				f.startAlone(n, f.driver(n))
				for _, r := range tt.reports {
					time.Sleep(400 * time.Millisecond)
					is.NoErr(r.send(n.Node))
				}
				time.Sleep(2 * time.Second) // for the entry to reach the others
				is.Equal(n.slots.Status().Closed, tt.want == "")
				is.Equal(other.inUse(n.addr), tt.want)
			})
		})
	}
}

// TestLeaveAfterRestart guards against the incident on which issue 26 reports: requests reached a backend server 2.7 s
// after a restarted daemon had acknowledged its leave, because it had no heartbeat of it yet.
func TestLeaveAfterRestart(t *testing.T) {
	for name, stated := range map[string]bool{"start stated": true, "start not stated": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSyncFleet(t, 2, 2)
				defer f.stopAll()
				f.startAll()
				n, other := f.nodes[0], f.nodes[3]
				known := n.currentServer()
				is.Equal(other.inUse(n.addr), fmt.Sprint(known.ID, "/", known.Born))
				f.kill(n)
				time.Sleep(500 * time.Millisecond)
				f.startAlone(n, f.driver(n))
				time.Sleep(400 * time.Millisecond)
				born := int64(0)
				if stated {
					born = known.Born
				}
				is.NoErr(n.ServerLeft(known.ID, born))
				time.Sleep(2670 * time.Millisecond)
				is.NoErr(serverReport{known.ID, known.Born, 19, Ready}.send(n.Node))
				for range 20 {
					is.True(n.slots.Status().Closed)
					is.Equal(other.inUse(n.addr), "")
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}
