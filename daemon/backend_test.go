package daemon

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/admin"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/proxy"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// TestAnnouncedIncarnation guards against two faults: the admission limit and the slots of a crashed
// process are kept for its successor, and a late announcement puts the former process in force again.
func TestAnnouncedIncarnation(t *testing.T) {
	const slots, warmLimit, coldLimit = 8, 5, 2
	announcement := func(inc ident.Incarnation, state peers.State) admin.Announcement {
		return admin.Announcement{Service: "s", Backend: "127.0.0.1:1", Slots: slots, Conns: 9, State: string(state), Incarnation: inc}
	}
	tests := map[string]struct {
		next      []admin.Announcement // follow incarnation 1, Ready
		err       error                // of the last announcement
		limit     ident.Units
		known     ident.Incarnation
		restarted int64
	}{
		"repeated":                             {[]admin.Announcement{announcement(1, peers.Ready)}, nil, warmLimit, 1, 0},
		"crashed, first one is Ready":          {[]admin.Announcement{announcement(2, peers.Ready)}, nil, coldLimit, 2, 1},
		"crashed, starting first":              {[]admin.Announcement{announcement(2, peers.Starting), announcement(2, peers.Ready)}, nil, coldLimit, 2, 1},
		"drained":                              {[]admin.Announcement{announcement(1, peers.Draining), announcement(2, peers.Ready)}, nil, coldLimit, 2, 0},
		"ended":                                {[]admin.Announcement{announcement(1, peers.Gone), announcement(2, peers.Ready)}, nil, coldLimit, 2, 0},
		"late drain of the former process":     {[]admin.Announcement{announcement(2, peers.Ready), announcement(1, peers.Draining)}, admin.ErrFormerProcess, coldLimit, 2, 1},
		"none given":                           {[]admin.Announcement{announcement(0, peers.Ready)}, nil, warmLimit, 0, 0},
		"late after a drain":                   {[]admin.Announcement{announcement(1, peers.Draining), announcement(1, peers.Ready)}, admin.ErrLeftProcess, warmLimit, 1, 0},
		"late after the end":                   {[]admin.Announcement{announcement(1, peers.Gone), announcement(1, peers.Starting)}, admin.ErrLeftProcess, warmLimit, 1, 0},
		"end after a drain":                    {[]admin.Announcement{announcement(1, peers.Draining), announcement(1, peers.Gone)}, nil, warmLimit, 1, 0},
		"ended, none given":                    {[]admin.Announcement{announcement(0, peers.Gone), announcement(0, peers.Ready)}, nil, coldLimit, 0, 0},
		"none given, then first process again": {[]admin.Announcement{announcement(0, peers.Ready), announcement(1, peers.Ready)}, nil, warmLimit, 1, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			settings := DefaultSettings()
			settings.Listen = ListenConfig{HTTP: "127.0.0.1:0", Control: "127.0.0.1:0"}
			d, err := New(Deps{
				Settings: settings, Driver: emul.NewStore(emul.DefaultStoreConfig()).Driver(), Log: event.Discard(), Stats: stats.New(),
			})
			is.NoErr(err)
			t.Cleanup(func() {
				d.cancel()
				_, _ = d.httpListener.Close(), d.controlListener.Close()
			})
			is.NoErr(d.handleAnnouncement(announcement(1, peers.Ready)))
			gate := d.service.Load().gate
			warmUp(t, d, warmLimit)
			for i, a := range tt.next {
				err := d.handleAnnouncement(a)
				is.True(err == nil || i == len(tt.next)-1)
				if i == len(tt.next)-1 {
					is.True(errors.Is(err, tt.err)) // error of the last announcement
				}
			}
			is.Equal(gate.Limit(), tt.limit)               // max calls admitted at once
			is.Equal(d.backend.last.Incarnation, tt.known) // process whose announcement is in force
			is.Equal(d.stats.Value("Backend.Restarted"), tt.restarted)
		})
	}
}

// warmUp completes calls at the gate until its admission limit is n.
func warmUp(t *testing.T, d *Daemon, n ident.Units) {
	for gate := d.service.Load().gate; gate.Limit() < n; {
		done, err := d.enterGate(t.Context(), proxy.GateRequest{Member: "m"})
		if err != nil {
			t.Fatal(err)
		}
		done(proxy.GateOutcome{})
	}
}
