package main

import (
	"fmt"
	"time"
)

func init() { cases["foreign"] = caseForeign }

// caseForeign checks ROUTE: a heartbeat of another writer, with fields missing, names no target to use. With trouble, such a heartbeat
// states another service of the configuration.
func caseForeign(rec *record, dir string, trouble bool) error {
	st, err := startStore()
	if err != nil {
		return err
	}
	services := []string{"bookings", "registry"}
	routes := [][5]string{{"r-check", "seats.example", "/check/", "safe", "bookings"}, {"r-pay", "fees.example", "/pay/", "unsafe", "registry"}}
	st.put("op/config", config(7, services, routes))
	var ms []*machine
	var ts []*target
	for i, m := range []struct{ zone, region, service string }{
		{"riga-b", "riga", "bookings"}, {"riga-a", "riga", "registry"}, {"dgp-a", "daugavpils", "registry"}, {"dgp-a", "daugavpils", "bookings"},
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
	time.Sleep(6 * time.Second)
	victim := ts[0]
	served := 0
	for range 20 {
		for _, m := range ms {
			if send(rec, m, "POST", "fees.example", "/pay/1", 1200*time.Millisecond).status == 200 {
				served++
			}
		}
	}
	if trouble {
		forged := victim.beat("ready")
		delete(forged, "zone")
		delete(forged, "version")
		forged["service"] = "registry"
		forged["born"] = time.Now().UnixMilli()
		rec.log("heartbeat of another writer, without zone and version, answered %d", victim.post("heartbeat", forged))
	}
	for range 30 {
		for _, m := range ms {
			if send(rec, m, "POST", "fees.example", "/pay/1", 1200*time.Millisecond).status == 200 {
				served++
			}
		}
	}
	n := 0
	for _, t := range ts {
		for _, r := range t.after(time.Time{}) {
			if t.service != "registry" && r.path == "/pay/1" {
				n++
			}
		}
	}
	if n > 0 {
		return fmt.Errorf("%w: ROUTE: %d of %d requests to registry were run by a target of bookings", errBroken, n, served)
	}
	fmt.Println(served)
	return nil
}
