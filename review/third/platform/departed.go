package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	touch = 3 * time.Second // touch_s
	// servesOn is how long the target serves after the acknowledgement: "at times many seconds".
	servesOn = 12 * time.Second
)

// departure is a leave that is acknowledged while the store is down, before all daemons are killed. Times count from the
// begin of the outage.
type departure struct {
	how                                   outage
	beats, arrive                         []time.Duration // heartbeats of the target before it leaves, and when they arrive
	leave, kill, storeUp, start, measured time.Duration
}

// playDeparted checks DRAIN. The store is back between the kill and the start of the daemons, and one late heartbeat arrives
// after it.
func playDeparted(f *fleet, trouble bool) error {
	ms := time.Millisecond
	return f.playDeparture(&departure{
		how: storeBusy, beats: []time.Duration{2400 * ms}, arrive: []time.Duration{5400 * ms},
		leave: 2800 * ms, kill: 3500 * ms, storeUp: 4300 * ms, start: 5000 * ms, measured: 8300 * ms,
	}, trouble)
}

// playDoubted checks DRAIN. The store is back after the start of the daemons, and three heartbeats arrive late.
func playDoubted(f *fleet, trouble bool) error {
	ms := time.Millisecond
	return f.playDeparture(&departure{
		how: storeReset, beats: []time.Duration{100 * ms, 1600 * ms, 3100 * ms}, arrive: []time.Duration{4900 * ms, 6300 * ms, 7800 * ms},
		leave: 3300 * ms, kill: 4000 * ms, storeUp: 6000 * ms, start: 4500 * ms, measured: 9400 * ms,
	}, trouble)
}

func (f *fleet) playDeparture(d *departure, trouble bool) error {
	if err := f.startSchool(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	counts := newCounts()
	for i, m := range f.machines {
		for j := range schoolRoutes {
			clients.Go(func() { f.steadyClient(ctx, m, &schoolRoutes[j], fmt.Sprintf("c%d-%d", i, j), counts) })
		}
	}
	time.Sleep(5 * time.Second)
	if before := counts.take(); before[http.StatusOK] == 0 {
		return fmt.Errorf("no request was served before the trouble: %v", before)
	}
	leaver := f.machines[0].target
	leaver.stopBeats() // from here on they follow the plan
	steps := []step{
		{d.leave, func() error { return f.leave(leaver) }},
		{d.measured, func() error { counts.take(); f.rec.logf("all machines are in touch"); return nil }},
	}
	for i := range d.beats {
		steps = append(steps, step{d.beats[i], func() error { leaver.reportLate(d.arrive[i] - d.beats[i]); return nil }})
	}
	if trouble {
		steps = append(steps,
			step{0, func() error { f.rec.logf("store: down"); f.store.setOutage(d.how); return nil }},
			step{d.kill, f.killAll},
			step{d.storeUp, func() error { f.store.setOutage(storeUp); f.disturb("store: up"); return nil }},
			step{d.start, f.restartAll},
		)
	}
	began := time.Now()
	if err := play(began, steps); err != nil {
		return err
	}
	acked := leaver.leftAt()
	time.Sleep(time.Until(acked.Add(servesOn)))
	f.rec.logf("target %s: exits", leaver.id)
	leaver.stop()
	during := counts.take()
	f.rec.logf("answers to the clients since all machines are in touch, by status: %v", during)
	if during[http.StatusOK] == 0 {
		return fmt.Errorf("no request was served after the trouble: %v", during)
	}
	from := began.Add(d.measured)
	if calm := f.lastDisturbed().Add(touch); calm.After(from) {
		from = calm
	}
	late := leaver.after(from)
	for _, a := range late {
		f.rec.logf("reached the target that left: %s %s %s, %.3f s after the acknowledgement", a.method, a.path, a.id, a.at.Sub(acked).Seconds())
	}
	if len(late) > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached the target later than drain_s (2.5 s) after its leave was acknowledged, up to %.1f s", errBroken, len(late), late[len(late)-1].at.Sub(acked).Seconds())
	}
	return nil
}

// leave has the target leave without draining first.
func (f *fleet) leave(t *target) error {
	f.rec.logf("target %s (lessons at %s): leaves", t.id, f.machines[0].name)
	if !t.deregister(context.Background()) {
		return errors.New("the leave was not acknowledged in a second")
	}
	f.rec.logf("target %s: the leave is acknowledged; it serves on for %v", t.id, servesOn)
	return nil
}

func (f *fleet) killAll() error {
	for _, m := range f.machines {
		m.kill()
	}
	f.rec.logf("platform: all daemons are killed")
	return nil
}

func (f *fleet) restartAll() error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	f.disturb("platform: all daemons are started")
	return nil
}

// disturb records the end of a disruption.
func (f *fleet) disturb(what string) {
	f.rec.logf("%s", what)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbed = time.Now()
}

func (f *fleet) lastDisturbed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disturbed
}

var schoolRoutes = []route{
	{"view", "safe", "lessons", 1.2, 0.3}, {"book", "unsafe", "bookings", 1.2, 0.3}, {"read", "safe", "registry", 2, 0.5},
}

// startSchool starts the deployment dlrs-mesh.
func (f *fleet) startSchool() error {
	err := f.deploy(deployment{
		services: []string{"lessons", "bookings", "registry"}, memoryMB: 284, slots: 9, work: 50 * time.Millisecond,
		zones: [][2]string{{"riga-a", "riga"}, {"dgp-a", "daugavpils"}, {"riga-b", "riga"}, {"dgp-b", "daugavpils"}},
	})
	if err != nil {
		return err
	}
	if err := f.configure(1, schoolRoutes); err != nil {
		return err
	}
	return f.startAll()
}

// step is something that happens at a time.
type step struct {
	at time.Duration
	do func() error
}

// play plays the steps in the order of their times, which count from began.
func play(began time.Time, steps []step) error {
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, s := range steps {
		time.Sleep(time.Until(began.Add(s.at)))
		if err := s.do(); err != nil {
			return err
		}
	}
	return nil
}
