package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["keys"] = caseKeys }

// caseKeys checks CONFIG and UNASKED for keys of tenants: a request with a key that was removed is not run later than config_s after the
// acknowledgement, and no target is shown a key. With trouble, a version removes the last tenant.
func caseKeys(rec *record, dir string, trouble bool) error {
	const configS = 2500 * time.Millisecond
	st, err := startStore()
	if err != nil {
		return err
	}
	services := []string{"bookings", "registry"}
	routes := [][5]string{{"r-pay", "fees.example", "/pay/", "unsafe", "bookings"}, {"r-check", "seats.example", "/check/", "safe", "registry"}}
	// put writes a version with these tenants, each with the key KEY-NAME.
	put := func(version int, names ...string) time.Time {
		var doc map[string]any
		_ = json.Unmarshal(config(version, services, routes), &doc)
		tenants := []map[string]any{}
		for _, n := range names {
			tenants = append(tenants, map[string]any{"name": n, "api_keys": []string{"key-" + n}, "priority": 1})
		}
		doc["tenants"] = tenants
		b, _ := json.Marshal(doc)
		st.put("op/config", b)
		rec.log("config    r%d, tenants %v", version, names)
		return time.Now()
	}
	put(7, "guides", "porters")
	var ms []*machine
	var ts []*target
	for i, m := range []struct{ zone, region, service string }{
		{"riga-a", "riga", "bookings"}, {"riga-b", "riga", "registry"}, {"dgp-a", "daugavpils", "bookings"},
	} {
		vm, err := newMachine(dir, i, m.zone, m.region, m.service, st.addr)
		if err != nil {
			return err
		}
		if err := vm.addSettings("RateWindow = \"5s\"\nRateOverage = 0.1\nRateSlack = 20\n"); err != nil {
			return err
		}
		ms = append(ms, vm)
		if err := vm.start(); err != nil {
			return err
		}
		defer vm.kill()
		ts = append(ts, newTarget(rec, fmt.Sprintf("i-%d%08x", i, 0x7f3a91c2), m.service, m.zone, vm.control, vm.appLn))
	}
	if err := awaitReady(ms, 15*time.Second); err != nil {
		return err
	}
	for _, t := range ts {
		t.startBeats()
	}
	time.Sleep(6 * time.Second)
	// each sends n rounds of requests with the keys of both tenants, with an unknown key and without one, and returns the numbers of 200 and 401.
	each := func(n int, keys ...string) (ok, denied int) {
		for range n {
			for _, m := range ms {
				for _, k := range keys {
					switch sendWithKey(rec, m, "POST", "fees.example", "/pay/1", k, 1200*time.Millisecond).status {
					case 200:
						ok++
					case 401:
						denied++
					}
				}
			}
		}
		return ok, denied
	}
	if ok, denied := each(5, "key-guides", "key-porters", "key-unknown", ""); ok != 30 || denied != 30 {
		return fmt.Errorf("calm: %d served, %d denied, 30 and 30 expected", ok, denied)
	}
	at := put(10, "porters")
	time.Sleep(time.Until(at.Add(configS + 500*time.Millisecond)))
	if ok, denied := each(5, "key-guides", "key-porters"); ok != 15 || denied != 15 {
		return fmt.Errorf("one tenant removed: %d served, %d denied, 15 and 15 expected", ok, denied)
	}
	keys := []string{"key-guides", "key-unknown"}
	if trouble {
		at = put(13)
		keys = append(keys, "key-porters")
	} else {
		at = put(13, "porters")
	}
	time.Sleep(time.Until(at.Add(configS + 500*time.Millisecond)))
	judged := time.Now()
	ok, denied := each(10, keys...)
	shown := 0
	for _, t := range ts {
		for _, r := range t.after(judged) {
			if r.key != "" {
				shown++
			}
		}
	}
	if ok+shown > 0 {
		return fmt.Errorf("%w: CONFIG, UNASKED: later than config_s after the version without tenants, %d requests with removed or unknown keys were run, %d targets' runs were shown the key, %d denied",
			errBroken, ok, shown, denied)
	}
	return nil
}
