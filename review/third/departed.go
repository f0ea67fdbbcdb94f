package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	touch = 3 * time.Second // touch_s
	// lateBeatAt is when the last heartbeat before the leave arrives, from the begin of the outage: less than 3 s late.
	lateBeatAt = 5200 * time.Millisecond
	// servesOn is how long the target serves after the acknowledgement: "at times many seconds".
	servesOn = 12 * time.Second
)

// playDeparted checks DRAIN. A target leaves while the store is down; then all daemons are killed, and the store is back
// before they are started again. A heartbeat that the target sent before it left arrives late.
func playDeparted(f *fleet, trouble bool) error {
	routes := []route{
		{"view", "safe", "lessons", 1.2, 0.3}, {"book", "unsafe", "bookings", 1.2, 0.3}, {"read", "safe", "registry", 2, 0.5},
	}
	err := f.deploy(deployment{
		services: []string{"lessons", "bookings", "registry"}, memoryMB: 284, slots: 9, work: 50 * time.Millisecond,
		zones: [][2]string{{"riga-a", "riga"}, {"dgp-a", "daugavpils"}, {"riga-b", "riga"}, {"dgp-b", "daugavpils"}},
	})
	if err != nil {
		return err
	}
	if err := f.configure(1, routes); err != nil {
		return err
	}
	if err := f.startAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	counts := newCounts()
	for i, m := range f.machines {
		for j := range routes {
			clients.Go(func() { f.steadyClient(ctx, m, &routes[j], fmt.Sprintf("c%d-%d", i, j), counts) })
		}
	}
	time.Sleep(5 * time.Second)
	before := counts.take()
	f.rec.logf("clients: %v", before)
	if before[http.StatusOK] == 0 {
		return fmt.Errorf("no request was served before the trouble: %v", before)
	}

	leaver := f.machines[0].target
	at := func(since time.Time, d time.Duration) { time.Sleep(time.Until(since.Add(d))) }
	began := time.Now()
	if trouble {
		f.rec.logf("store: down (busy)")
		f.store.setOutage(storeBusy)
	}
	at(began, 2400*time.Millisecond)
	// The last heartbeat before the target leaves.
	leaver.stopBeats()
	if trouble {
		leaver.beatLate = func(int) time.Duration { return time.Until(began.Add(lateBeatAt)) }
	}
	leaver.report(context.Background(), "ready")
	at(began, 2800*time.Millisecond)
	f.rec.logf("target %s (lessons at %s): leaves", leaver.id, f.machines[0].name)
	if !leaver.deregister(context.Background()) {
		return fmt.Errorf("the leave was not acknowledged in a second")
	}
	acked := time.Now()
	f.rec.logf("target %s: the leave is acknowledged; it serves on for %v", leaver.id, servesOn)
	if trouble {
		at(began, 4*time.Second)
		for _, m := range f.machines {
			m.kill()
		}
		f.rec.logf("platform: all daemons are killed")
		at(began, 4300*time.Millisecond)
		f.store.setOutage(storeUp)
		f.rec.logf("store: up")
		at(began, 4600*time.Millisecond)
		for _, m := range f.machines {
			if err := m.start(); err != nil {
				return err
			}
		}
		f.rec.logf("platform: all daemons are started")
	}
	// In touch: touch_s after the start of the daemons, which is later than the end of the outage.
	inTouch := time.Now().Add(touch + 200*time.Millisecond)
	at(inTouch, 0)
	counts.take()
	f.rec.logf("all machines are in touch")
	at(acked, servesOn)
	f.rec.logf("target %s: exits", leaver.id)
	leaver.stop()
	during := counts.take()
	f.rec.logf("clients since then: %v", during)
	if during[http.StatusOK] == 0 {
		return fmt.Errorf("no request was served after the trouble: %v", during)
	}
	late := leaver.after(inTouch)
	for _, a := range late {
		f.rec.logf("reached the target that left: %s %s %s, %.3f s after the acknowledgement", a.method, a.path, a.id, a.at.Sub(acked).Seconds())
	}
	if len(late) > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached the target later than drain_s (2.5 s) after its leave was acknowledged, up to %.1f s", errBroken, len(late), late[len(late)-1].at.Sub(acked).Seconds())
	}
	return nil
}
