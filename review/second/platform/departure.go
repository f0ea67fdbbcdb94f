package main

import (
	"fmt"
	"time"
)

func init() { cases["departure"] = caseDeparture }

// caseDeparture checks DRAIN: the acknowledgement of a target's leaving binds the machine that gave it. With trouble, the store is
// down when the target leaves, and all daemons are killed before it is back; one heartbeat of the target arrives seconds late.
func caseDeparture(rec *record, dir string, trouble bool) error {
	const drain, touch = 2500 * time.Millisecond, 3 * time.Second
	st, err := startStore()
	if err != nil {
		return err
	}
	services := []string{"bookings", "registry"}
	routes := [][5]string{{"r-check", "seats.example", "/check/", "safe", "bookings"}, {"r-reg", "reg.example", "/reg/", "safe", "registry"}}
	st.put("op/config", config(7, services, routes))
	var ms []*machine
	var ts []*target
	for i, m := range []struct{ zone, region, service string }{
		{"riga-a", "riga", "bookings"}, {"riga-b", "riga", "bookings"}, {"dgp-a", "daugavpils", "registry"}, {"dgp-b", "daugavpils", "bookings"},
	} {
		vm, err := newMachine(dir, i, m.zone, m.region, m.service, st.addr)
		if err != nil {
			return err
		}
		ms = append(ms, vm)
		if err := vm.start(); err != nil {
			return err
		}
		defer vm.kill()
		t := newTarget(rec, fmt.Sprintf("i-%d%08x", i, 0x7f3a91c2), m.service, m.zone, vm.control, vm.appLn)
		ts = append(ts, t)
	}
	if err := awaitReady(ms, 15*time.Second); err != nil {
		return err
	}
	for _, t := range ts {
		t.startBeats()
	}
	time.Sleep(6 * time.Second) // all machines are in touch, each has sent several heartbeats
	leaver := ts[1]
	served := 0
	for range 20 {
		for _, m := range ms {
			if send(rec, m, "GET", "seats.example", "/check/1", 1200*time.Millisecond).status == 200 {
				served++
			}
		}
	}
	if served < 70 || len(leaver.after(time.Time{})) == 0 {
		return fmt.Errorf("calm: %d of 80 served, %d by the target that is to leave", served, len(leaver.after(time.Time{})))
	}

	if trouble {
		rec.log("store     down (answers 503)")
		st.setMode(storeBusy)
	}
	down := time.Now()
	time.Sleep(300 * time.Millisecond)
	// The heartbeat that arrives late: sent now, before the target leaves.
	late := leaver.beat("ready")
	leaver.stopBeats()
	rec.log("heartbeat seq=%v of %s is sent, and delayed", late["seq"], leaver.id)
	time.Sleep(100 * time.Millisecond)
	status := leaver.post("leave", nil)
	acked := time.Now()
	rec.log("leave     of %s acknowledged with %d", leaver.id, status)
	if status != 200 {
		return fmt.Errorf("leave not acknowledged: %d", status)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		for _, m := range ms {
			m.kill()
		}
		rec.log("killed    all daemons")
		time.Sleep(300 * time.Millisecond)
		for _, m := range ms {
			if err := m.start(); err != nil {
				return err
			}
		}
		rec.log("started   all daemons")
	} else {
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(1200 * time.Millisecond)
	rec.log("heartbeat seq=%v of %s arrives, answered %d", late["seq"], leaver.id, leaver.post("heartbeat", late))
	if trouble {
		time.Sleep(time.Until(down.Add(3 * time.Second)))
		st.setMode(storeUp)
		rec.log("store     up")
	}
	calm := time.Now()
	if err := awaitReady(ms, 5*time.Second); err != nil {
		return err
	}
	// In touch again: touch_s after the end of the disruption, and later than drain_s after the acknowledgement.
	judged := calm.Add(touch + 200*time.Millisecond)
	if d := acked.Add(drain + 500*time.Millisecond); judged.Before(d) {
		judged = d
	}
	time.Sleep(time.Until(judged))
	rec.log("judged    from here")
	n := 0
	for range 25 {
		for _, m := range ms {
			if send(rec, m, "GET", "seats.example", "/check/1", 1200*time.Millisecond).status == 200 {
				n++
			}
		}
	}
	if wrong := leaver.after(judged); len(wrong) > 0 {
		return fmt.Errorf("%w: DRAIN: %d of %d requests reached the target that left, from %.1f s after the acknowledgement (drain_s 2.5)",
			errBroken, len(wrong), n, wrong[0].at.Sub(acked).Seconds())
	}
	return nil
}
