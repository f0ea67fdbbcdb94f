package fanout_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// fault starts a fault. It returns a function that ends the fault and a filter of the
// daemons that must receive Versions accepted during the fault. The filter is nil if no Version
// can be accepted.
type fault func(f *emul.Fleet) (end func(), unaffected func(d *emul.Daemon) bool)

// tamper returns a fault that modifies updates in transit.
func tamper(change func(n int, body, before []byte) [][]byte) fault {
	return func(f *emul.Fleet) (func(), func(*emul.Daemon) bool) {
		n, before := map[ident.Addr]int{}, map[ident.Addr][]byte{}
		f.SetTamper(func(to ident.Addr, _ wire.Type, body []byte) [][]byte {
			n[to]++
			out := change(n[to], body, before[to])
			before[to] = body
			return out
		})
		return func() { f.SetTamper(nil) }, allDaemons
	}
}

func flipBit(b []byte, at int) []byte {
	out := slices.Clone(b)
	out[at%len(out)] ^= 0x10
	return out
}

func kill(pick func(f *emul.Fleet) []*emul.Daemon) fault {
	return func(f *emul.Fleet) (func(), func(*emul.Daemon) bool) {
		list := pick(f)
		for _, d := range list {
			d.Kill()
		}
		return func() {
			for _, d := range list {
				d.Start()
			}
		}, allDaemons
	}
}

func restart(pick func(f *emul.Fleet) []*emul.Daemon) fault {
	return func(f *emul.Fleet) (func(), func(*emul.Daemon) bool) {
		end, unaffected := kill(pick)(f)
		end()
		return func() {}, unaffected
	}
}

func pause(pick func(f *emul.Fleet) []*emul.Daemon) fault {
	return func(f *emul.Fleet) (func(), func(*emul.Daemon) bool) {
		list := pick(f)
		set := func(paused bool) {
			for _, d := range list {
				f.Net.Pause(d.Addr, paused)
			}
		}
		set(true)
		return func() { set(false) }, func(d *emul.Daemon) bool { return !slices.Contains(list, d) }
	}
}

func rootOf(region ident.Region) func(f *emul.Fleet) []*emul.Daemon {
	return func(f *emul.Fleet) []*emul.Daemon {
		return pick(f, func(d *emul.Daemon) bool { return d.Place.Region == region && d.Node.IsRoot() })
	}
}

func inDataCentre(dc ident.DataCentre) func(f *emul.Fleet) []*emul.Daemon {
	return func(f *emul.Fleet) []*emul.Daemon {
		return pick(f, func(d *emul.Daemon) bool { return d.Place.DataCentre == dc })
	}
}

// firstForwarder returns the first forwarder of dc that is not a root.
func firstForwarder(dc ident.DataCentre) func(f *emul.Fleet) []*emul.Daemon {
	return func(f *emul.Fleet) []*emul.Daemon {
		return pick(f, func(d *emul.Daemon) bool {
			return d.Place.DataCentre == dc && d.Agent.IsForwarder() && !d.Node.IsRoot()
		})[:1]
	}
}

func nonForwarders(n int) func(f *emul.Fleet) []*emul.Daemon {
	return func(f *emul.Fleet) []*emul.Daemon {
		return pick(f, func(d *emul.Daemon) bool { return !d.Agent.IsForwarder() })[:n]
	}
}

func everyThird(f *emul.Fleet) []*emul.Daemon {
	n := 0
	return pick(f, func(*emul.Daemon) bool { n++; return n%3 == 0 })
}

func pick(f *emul.Fleet, ok func(d *emul.Daemon) bool) []*emul.Daemon {
	var out []*emul.Daemon
	for _, d := range f.Daemons() {
		if d.Running() && ok(d) {
			out = append(out, d)
		}
	}
	return out
}

var faults = map[string]fault{
	"updates duplicated": tamper(func(_ int, b, _ []byte) [][]byte { return [][]byte{b, b} }),
	"updates corrupted": tamper(func(n int, b, _ []byte) [][]byte {
		if n%2 == 1 {
			return [][]byte{flipBit(b, 7*n)}
		}
		return [][]byte{b}
	}),
	"updates stale": tamper(func(n int, b, before []byte) [][]byte {
		if n%2 == 0 && before != nil {
			return [][]byte{before}
		}
		return [][]byte{b}
	}),
	"updates reordered": tamper(func(_ int, b, before []byte) [][]byte {
		if before != nil {
			return [][]byte{b, before}
		}
		return [][]byte{b}
	}),
	"root paused beyond its lease": pause(rootOf("riga")),
	"remote root paused":           pause(rootOf("daugavpils")),
	"root lost":                    kill(rootOf("riga")),
	"remote root lost":             kill(rootOf("daugavpils")),
	"root restarted":               restart(rootOf("riga")),
	"forwarder lost":               kill(firstForwarder("dgp-a")),
	"all forwarders of a centre lost": kill(func(f *emul.Fleet) []*emul.Daemon {
		return pick(f, func(d *emul.Daemon) bool { return d.Place.DataCentre == "dgp-a" && d.Agent.IsForwarder() })
	}),
	"forwarder paused":               pause(firstForwarder("riga-b")),
	"daemons restarted without disk": restart(nonForwarders(5)),
	"a third restarted":              restart(everyThird),
	"all restarted":                  restart(func(f *emul.Fleet) []*emul.Daemon { return f.Daemons() }),
	"data centre lost":               kill(inDataCentre("riga-b")),
	"reconnect storm": func(f *emul.Fleet) (func(), func(*emul.Daemon) bool) {
		for _, d := range f.Daemons() {
			f.Net.Reset(d.Addr)
		}
		return func() {}, allDaemons
	},
	"store down": func(f *emul.Fleet) (func(), func(*emul.Daemon) bool) {
		f.Platform.SetDown(true)
		return func() { f.Platform.SetDown(false) }, nil
	},
	"store slow": func(f *emul.Fleet) (func(), func(*emul.Daemon) bool) {
		f.Platform.SetSlow(300 * time.Millisecond)
		return func() { f.Platform.SetSlow(0) }, allDaemons
	},
	"region partitioned": func(f *emul.Fleet) (func(), func(*emul.Daemon) bool) {
		f.Net.Partition("riga", "daugavpils", true)
		return func() { f.Net.Partition("riga", "daugavpils", false) },
			func(d *emul.Daemon) bool { return d.Place.Region == "riga" }
	},
	"watches hang": func(f *emul.Fleet) (func(), func(*emul.Daemon) bool) {
		f.Platform.SetHang(true)
		return func() { f.Platform.SetHang(false) }, allDaemons
	},
	"lease expired": func(f *emul.Fleet) (func(), func(*emul.Daemon) bool) {
		f.Platform.ExpireRoots()
		return func() {}, allDaemons
	},
}

// faultTests has one entry for each fault, and for each pair of faults that could mask or
// aggravate each other. Each test guards against an address that serves a lower Version, a state
// that was not accepted, and a daemon that misses the convergence target of 4 s. The time counts
// from the acceptance of the Version for daemons that the fault does not affect, and from the
// end of the fault for the others.
var faultTests = map[string][]string{
	"corrupt update applied":                          {"updates corrupted"},
	"duplicate update applied twice":                  {"updates duplicated"},
	"stale update lowers the version":                 {"updates stale"},
	"reordered update lowers the version":             {"updates reordered"},
	"resumed root serves old state":                   {"root paused beyond its lease"},
	"remote root paused and not replaced":             {"remote root paused"},
	"root not replaced":                               {"root lost"},
	"remote root not replaced":                        {"remote root lost"},
	"restarted root finds its own lease":              {"root restarted"},
	"lost forwarder's daemons cut off":                {"forwarder lost"},
	"centre without forwarders cut off":               {"all forwarders of a centre lost"},
	"centre without forwarders and store cut off":     {"all forwarders of a centre lost", "store down"},
	"silent forwarder's daemons cut off":              {"forwarder paused"},
	"restarted daemon below its floor":                {"daemons restarted without disk"},
	"restart of many overloads forwarders":            {"a third restarted"},
	"restart of all finds no forwarder":               {"all restarted"},
	"lost data centre holds up the others":            {"data centre lost"},
	"reconnect storm does not settle":                 {"reconnect storm"},
	"store outage stops serving":                      {"store down"},
	"slow store delays beyond the target":             {"store slow"},
	"partitioned region not caught up":                {"region partitioned"},
	"hanging watch hides a change":                    {"watches hang"},
	"hanging watch and lost remote root":              {"watches hang", "remote root lost"},
	"expired lease leaves no root":                    {"lease expired"},
	"restart in a store outage below the floor":       {"store down", "daemons restarted without disk"},
	"many restart in a store outage below the floor":  {"store down", "a third restarted"},
	"forwarder lost in a store outage":                {"store down", "forwarder lost"},
	"root lost in a store outage":                     {"store down", "root lost"},
	"storm in a store outage":                         {"store down", "reconnect storm"},
	"root paused and forwarder lost":                  {"root paused beyond its lease", "forwarder lost"},
	"root paused and updates stale":                   {"root paused beyond its lease", "updates stale"},
	"root lost and store slow":                        {"root lost", "store slow"},
	"both roots lost":                                 {"root lost", "remote root lost"},
	"remote root lost in a partition":                 {"region partitioned", "remote root lost"},
	"restart in a partition below the floor":          {"region partitioned", "daemons restarted without disk"},
	"many restart in a partition":                     {"region partitioned", "a third restarted"},
	"forwarder lost in a partition":                   {"region partitioned", "forwarder lost"},
	"partition and store outage":                      {"region partitioned", "store down"},
	"storm and forwarder lost":                        {"forwarder lost", "reconnect storm"},
	"restart of many and corrupt updates":             {"updates corrupted", "a third restarted"},
	"reordered updates and reconnect storm":           {"updates reordered", "reconnect storm"},
	"data centre lost and root lost":                  {"data centre lost", "root lost"},
	"restart twice":                                   {"a third restarted", "daemons restarted without disk"},
	"lease expired while the root is paused":          {"root paused beyond its lease", "lease expired"},
	"corrupt updates in a partition, then its repair": {"region partitioned", "updates corrupted"},
}

func TestFaults(t *testing.T) {
	for name, names := range faultTests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runFaults(t, names) })
		})
	}
}

const (
	convergenceTarget = 4 * time.Second
	settleTime        = 25 * time.Second // after a start: the ranking is computed and subscriptions are balanced
)

func runFaults(t *testing.T, names []string) {
	f := emul.NewFleet(24, twoRegions, 3)
	c := newChecker(t.Errorf, f)
	c.accept()
	f.Start()
	defer f.Stop()
	time.Sleep(settleTime)
	c.waitServed(0, 1, "start", allDaemons)

	var ends []func()
	var unaffected []func(*emul.Daemon) bool
	for _, n := range names {
		end, s := faults[n](f)
		ends, unaffected = append(ends, end), append(unaffected, s)
	}
	// The second round starts when all daemons have noticed the faults.
	for range 2 {
		if slices.ContainsFunc(unaffected, func(s func(*emul.Daemon) bool) bool { return s == nil }) {
			time.Sleep(8 * time.Second)
			continue
		}
		v := c.accept()
		c.waitServed(convergenceTarget, v, "during the fault", func(d *emul.Daemon) bool {
			return !slices.ContainsFunc(unaffected, func(s func(*emul.Daemon) bool) bool { return !s(d) })
		})
		time.Sleep(8 * time.Second)
	}
	for _, end := range slices.Backward(ends) {
		end()
	}
	v := c.accept()
	c.waitServed(convergenceTarget, v, "after the fault", allDaemons)
	time.Sleep(settleTime)
	v = c.accept()
	c.waitServed(convergenceTarget, v, "in the end", allDaemons)
	if most := f.Platform.Calls().MaxWatching; most > 3 {
		t.Errorf("%d watches of head at once", most)
	}
}
