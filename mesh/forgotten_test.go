package mesh

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
)

// forgottenDeparture plays a departure that is acknowledged shortly before daemons are killed. Times count from the start
// of the daemons after the last kill.
type forgottenDeparture struct {
	outage   emul.Outage
	before   time.Duration // from the outage to the departure
	draining bool          // the departure is told by a heartbeat
	kills    int           // 0.4 s apart
	alone    bool          // only the daemon beside the server is killed, in a region that is cut off
	back     time.Duration // when the store answers again; negative: before the kill
	restored bool          // from a copy of before the departure
	late     []time.Duration
	leaves   time.Duration // when the server reports once more that it leaves; zero: it does not
	inDoubt  bool          // the other servers have to go on reporting before they are in use
}

const beatInterval = 1500 * time.Millisecond

// keepReporting sends heartbeats of the backend server of n until ctx is done, as one that runs on does.
func (n *syncNode) keepReporting(ctx context.Context, s serverReport, after time.Duration) {
	for next := after; ; next = beatInterval {
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
		s.seq++
		_ = s.send(n.Node)
	}
}

// TestForgottenDeparture guards against a backend server that is in use again although its departure was acknowledged,
// since no daemon is left that knows of it, the store did not take it, and a heartbeat of before arrives late; and against
// servers that run on and stay out of use for that, or wait although nothing is in doubt.
func TestForgottenDeparture(t *testing.T) {
	ms := func(list ...int) (out []time.Duration) {
		for _, n := range list {
			out = append(out, time.Duration(n)*time.Millisecond)
		}
		return out
	}
	rejecting := forgottenDeparture{outage: emul.Rejecting, before: 400 * time.Millisecond, kills: 1, back: 1500 * time.Millisecond, late: ms(1200), inDoubt: true}
	with := func(edit func(d *forgottenDeparture)) forgottenDeparture {
		d := rejecting
		edit(&d)
		return d
	}
	tests := map[string]forgottenDeparture{
		"leave":                        rejecting,
		"draining":                     with(func(d *forgottenDeparture) { d.draining = true }),
		"two late heartbeats":          with(func(d *forgottenDeparture) { d.late = ms(300, 1800) }),
		"two late heartbeats at once":  with(func(d *forgottenDeparture) { d.late = ms(3200, 3201) }),
		"silent store":                 with(func(d *forgottenDeparture) { d.outage = emul.Silent }),
		"late after the store is back": with(func(d *forgottenDeparture) { d.late = ms(2500) }),
		"late by many seconds":         with(func(d *forgottenDeparture) { d.late = ms(9000) }),
		"killed twice":                 with(func(d *forgottenDeparture) { d.kills = 2 }),
		"killed five times":            with(func(d *forgottenDeparture) { d.kills = 5 }),
		"alone and cut off":            with(func(d *forgottenDeparture) { d.alone = true }),
		"end of the departure":         with(func(d *forgottenDeparture) { d.leaves, d.late = 700*time.Millisecond, ms(1200, 2700, 4200, 5700) }),
		"store up":                     {kills: 1, late: ms(20)},
		"store up, draining":           {kills: 1, draining: true, late: ms(20)},
		"store back from a copy":       {kills: 1, restored: true, late: ms(20, 1500), inDoubt: true},
		"outage, back from a copy":     with(func(d *forgottenDeparture) { d.restored = true }),
		"store back before the kill":   {outage: emul.Rejecting, before: 1400 * time.Millisecond, kills: 1, back: -700 * time.Millisecond, late: ms(20)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSyncFleet(t, 2, 2)
				defer f.stopAll()
				f.startAll()
				tt.play(t, f)
			})
		})
	}
}

func (d *forgottenDeparture) play(t *testing.T, f *syncFleet) {
	is := is.New(t)
	n, others := f.nodes[3], f.nodes[:3]
	known := map[*syncNode]serverReport{}
	for _, x := range f.nodes {
		s := x.currentServer()
		known[x] = serverReport{s.ID, s.Born, 10, Ready}
	}
	earlier := f.store.Copy()
	f.store.SetOutage(d.outage)
	if d.alone {
		f.separate(true)
	}
	time.Sleep(d.before)
	gone := known[n]
	late := gone // sent before the departure
	if gone.state = Gone; d.draining {
		gone.state, gone.seq = Draining, gone.seq+5
	}
	is.NoErr(gone.send(n.Node))
	n.AwaitDeparture(t.Context()) // and is acknowledged
	if d.back < 0 {
		f.store.SetOutage(emul.NoOutage)
		time.Sleep(-d.back)
	}
	killed := f.nodes
	if d.alone {
		killed = f.nodes[3:]
	}
	var began time.Time
	for i := range d.kills {
		if i > 0 {
			time.Sleep(200 * time.Millisecond)
		}
		for _, x := range killed {
			f.kill(x)
		}
		time.Sleep(200 * time.Millisecond)
		if d.restored && d.outage == emul.NoOutage {
			f.store.Restore(earlier)
		}
		for _, x := range killed {
			f.startAlone(x, f.driver(x))
		}
		began = time.Now()
	}
	ctx, cancel := context.WithCancel(t.Context())
	var senders sync.WaitGroup
	defer senders.Wait()
	defer cancel()
	if !d.alone {
		for i, x := range others {
			senders.Go(func() { x.keepReporting(ctx, known[x], time.Duration(i)*400*time.Millisecond) })
		}
	}
	at := func(offset time.Duration) { time.Sleep(time.Until(began.Add(offset))) }
	senders.Go(func() {
		for _, offset := range d.late {
			at(offset)
			late.seq++
			_ = late.send(n.Node)
		}
	})
	if d.leaves > 0 {
		senders.Go(func() {
			at(d.leaves)
			_ = serverReport{gone.id, gone.born, 0, Gone}.send(n.Node)
		})
	}
	if d.back > 0 {
		at(d.back)
		if d.restored {
			f.store.Restore(earlier)
		}
		f.store.SetOutage(emul.NoOutage)
		f.separate(false)
	}
	inUse := func(x *syncNode) string { return fmt.Sprint(known[x].id, "/", known[x].born) }
	for time.Since(began) < 15*time.Second {
		time.Sleep(100 * time.Millisecond)
		is.True(n.slots.Status().Closed) // the server that left is not in use
		serving, usable := 0, 0
		for _, x := range others {
			if !x.slots.Status().Closed {
				serving++
			}
			if others[0].inUse(x.addr) == inUse(x) {
				usable++
			}
		}
		switch since := time.Since(began); {
		case !d.inDoubt && since > 3*time.Second, since > 7*time.Second:
			is.Equal(serving, len(others))
			is.Equal(usable, len(others))
			is.Equal(others[0].inUse(n.addr), "")
		}
	}
}

// TestNewServerAfterRestart guards against a backend server that was started about when its daemon was, and does not come
// into use with its first heartbeat, although the daemon cannot reach the store.
func TestNewServerAfterRestart(t *testing.T) {
	for name, age := range map[string]time.Duration{
		"started after the daemon": -300 * time.Millisecond, "started between the processes of the daemon": 300 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newSyncFleet(t, 2, 2)
				defer f.stopAll()
				f.startAll()
				n := f.nodes[3]
				before := n.currentServer()
				f.store.SetOutage(emul.Rejecting)
				is.NoErr(serverReport{before.ID, before.Born, 0, Gone}.send(n.Node))
				n.AwaitDeparture(t.Context())
				for _, x := range f.nodes {
					f.kill(x)
				}
				time.Sleep(500 * time.Millisecond)
				started := time.Now()
				f.startAlone(n, f.driver(n))
				time.Sleep(time.Second)
				is.NoErr(serverReport{"i-new", started.Add(-age).UnixMilli(), 1, Ready}.send(n.Node))
				is.True(!n.slots.Status().Closed)
				is.NoErr(serverReport{before.ID, before.Born, 99, Ready}.send(n.Node)) // late
				is.Equal(n.currentServer().ID, "i-new")
			})
		})
	}
}

// TestClockSetBackInDoubt guards against a backend server that is taken for a new one since the clock was set back.
func TestClockSetBackInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSyncFleet(t, 2, 2)
		defer f.stopAll()
		f.startAll()
		n := f.nodes[3]
		before := n.currentServer()
		f.store.SetOutage(emul.Rejecting)
		for _, x := range f.nodes {
			f.kill(x)
		}
		n.clockLag = time.Hour
		f.startAlone(n, f.driver(n))
		time.Sleep(time.Second)
		is.NoErr(serverReport{before.ID, before.Born, 20, Ready}.send(n.Node))
		is.True(n.slots.Status().Closed)
		is.Equal(n.d.Stats.Value("Server.Unconfirmed"), int64(1))
	})
}
