package peers_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
)

var twoRegions = []ident.Place{
	{Region: "riga", DataCentre: "riga-a"},
	{Region: "riga", DataCentre: "riga-b"},
	{Region: "daugavpils", DataCentre: "dgp-a"},
	{Region: "daugavpils", DataCentre: "dgp-b"},
}

const (
	services = 3
	// settled is the time from the start until the ranking is computed and the
	// subscriptions are in place.
	settled = 25 * time.Second
	// drainTarget is the time within which all daemons must know of a draining server.
	drainTarget = 3 * time.Second
)

// fleet starts n daemons that all use all services.
func fleet(t *testing.T, n int, change func(f *emul.Fleet)) *emul.Fleet {
	t.Helper()
	f := emul.NewFleet(n, twoRegions, services)
	if change != nil {
		change(f)
	}
	a, err := agree.New(1, []agree.Row{{Kind: agree.KindMember, Member: "m"}})
	if err != nil {
		t.Fatal(err)
	}
	f.Platform.Accept(a)
	f.Start()
	use(f.Daemons()...)
	time.Sleep(settled)
	return f
}

func use(list ...*emul.Daemon) {
	for _, d := range list {
		for s := range services {
			d.Agent.Subscribe(ident.ServiceID(fmt.Sprintf("service-%d", s)))
		}
	}
}

// within waits until ok holds at all running daemons.
func within(t *testing.T, f *emul.Fleet, limit time.Duration, what string, ok func(at *emul.Daemon) bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for {
		var bad []ident.Addr
		for _, d := range f.Daemons() {
			if d.Running() && !ok(d) {
				bad = append(bad, d.Addr)
			}
		}
		took := time.Since(begin)
		if len(bad) == 0 {
			return took
		}
		if took >= limit {
			t.Errorf("%s: not at %d daemons after %s, such as %s", what, len(bad), limit, bad[0])
			return took
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func state(at, of *emul.Daemon) peers.State {
	for _, s := range at.Registry.Servers(of.Service) {
		if s.Addr == of.HTTP() {
			return s.State
		}
	}
	return peers.Gone
}

func hasState(st peers.State, of *emul.Daemon) func(at *emul.Daemon) bool {
	return func(at *emul.Daemon) bool { return state(at, of) == st }
}

func drain(d *emul.Daemon) {
	d.Agent.Announce(peers.Server{Service: d.Service, Addr: d.HTTP(), Slots: 9, Conns: 120, State: peers.Draining})
}

func find(f *emul.Fleet, ok func(d *emul.Daemon) bool) []*emul.Daemon {
	var out []*emul.Daemon
	for _, d := range f.Daemons() {
		if ok(d) {
			out = append(out, d)
		}
	}
	return out
}

func at(f *emul.Fleet, addr string) *emul.Daemon { return f.Daemon(ident.Addr(addr)) }

// upstream returns the forwarder that d is connected to.
func upstream(f *emul.Fleet, d *emul.Daemon) *emul.Daemon {
	return at(f, d.Node.Upstream().RemoteAddr())
}

// Each case guards against a draining server that still gets new requests after 3 s.
func TestDrainKnownEverywhere(t *testing.T) {
	t.Parallel()
	first := func(f *emul.Fleet, dc ident.DataCentre) *emul.Daemon {
		d := find(f, func(d *emul.Daemon) bool { return d.Place.DataCentre == dc })[0]
		return f.Daemon(d.Agent.Forwarders()[0])
	}
	for name, fault := range map[string]func(f *emul.Fleet, leaving *emul.Daemon){
		"no fault":                             func(*emul.Fleet, *emul.Daemon) {},
		"its forwarder lost":                   func(f *emul.Fleet, d *emul.Daemon) { upstream(f, d).Kill() },
		"its forwarder silent":                 func(f *emul.Fleet, d *emul.Daemon) { f.Net.Pause(upstream(f, d).Addr, true) },
		"first forwarder of its centre lost":   func(f *emul.Fleet, _ *emul.Daemon) { first(f, "riga-a").Kill() },
		"first forwarder of its centre silent": func(f *emul.Fleet, _ *emul.Daemon) { f.Net.Pause(first(f, "riga-a").Addr, true) },
		"first forwarder of another lost":      func(f *emul.Fleet, _ *emul.Daemon) { first(f, "dgp-b").Kill() },
		"root lost": func(f *emul.Fleet, _ *emul.Daemon) {
			find(f, func(d *emul.Daemon) bool { return d.Node.IsRoot() })[0].Kill()
		},
		"store down": func(f *emul.Fleet, _ *emul.Daemon) { f.Platform.SetDown(true) },
		"reconnect storm": func(f *emul.Fleet, _ *emul.Daemon) {
			for _, d := range f.Daemons() {
				f.Net.Reset(d.Addr)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := fleet(t, 40, nil)
				defer f.Stop()
				leaving := find(f, func(d *emul.Daemon) bool {
					return d.Place.DataCentre == "riga-a" && !d.Agent.IsForwarder()
				})[0]
				within(t, f, 0, "ready", hasState(peers.Ready, leaving))
				fault(f, leaving)
				drain(leaving)
				reachable := func(at *emul.Daemon) bool {
					return !f.Net.Reachable(at.Addr, at.Place) || state(at, leaving) == peers.Draining
				}
				t.Log(within(t, f, drainTarget, "draining", reachable))
			})
		})
	}
}

// Guards against a dead daemon whose servers stay selectable or are restored by a late
// message, and against a restarted daemon that stays suspect.
func TestDeadDaemonExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet(t, 24, nil)
		defer f.Stop()
		dead := find(f, func(d *emul.Daemon) bool { return !d.Agent.IsForwarder() })[0]
		old := dead.Registry
		dead.Kill()
		suspect := func(at *emul.Daemon) bool {
			return slices.ContainsFunc(at.Registry.Servers(dead.Service), func(s peers.Server) bool {
				return s.Addr == dead.HTTP() && at.Registry.IsSuspect(s)
			})
		}
		within(t, f, 8*time.Second, "suspect after three heartbeats", suspect)
		within(t, f, 30*time.Second, "gone", hasState(peers.Gone, dead))
		is := is.New(t)
		for _, s := range old.Servers(dead.Service) {
			if s.Addr == dead.HTTP() {
				is.True(!f.Daemons()[1].Registry.Apply(s))
			}
		}
		dead.Start()
		use(dead)
		within(t, f, 4*time.Second, "back", func(at *emul.Daemon) bool {
			return state(at, dead) == peers.Ready && !suspect(at)
		})
	})
}

// Guards against a daemon that stays suspect or gone after a pause.
func TestPausedDaemonReturns(t *testing.T) {
	for name, tt := range map[string]struct {
		forwarder bool
		pause     time.Duration
	}{
		"plain, suspect":     {false, 12 * time.Second},
		"plain, gone":        {false, 45 * time.Second},
		"forwarder, suspect": {true, 12 * time.Second},
		"forwarder, gone":    {true, 45 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := fleet(t, 32, nil)
				defer f.Stop()
				paused := find(f, func(d *emul.Daemon) bool { return d.Agent.IsForwarder() == tt.forwarder && !d.Node.IsRoot() })[0]
				f.Net.Pause(paused.Addr, true)
				time.Sleep(tt.pause)
				f.Net.Pause(paused.Addr, false)
				within(t, f, 8*time.Second, "selected again", func(at *emul.Daemon) bool {
					return slices.ContainsFunc(at.Registry.Servers(paused.Service), func(s peers.Server) bool {
						return s.Addr == paused.HTTP() && s.State == peers.Ready && !at.Registry.IsSuspect(s)
					})
				})
			})
		})
	}
}

// TestReconnectedDaemonReturns guards against a daemon that stays suspect, except at its forwarders, after it reconnects.
func TestReconnectedDaemonReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet(t, 32, nil)
		defer f.Stop()
		paused := find(f, func(d *emul.Daemon) bool {
			return !d.Agent.IsForwarder() && !slices.Contains(d.Agent.Contacts(), d.Addr)
		})[0]
		isSuspect := func(want bool) func(at *emul.Daemon) bool {
			return func(at *emul.Daemon) bool {
				return at == paused || slices.ContainsFunc(at.Registry.Servers(paused.Service), func(s peers.Server) bool {
					return s.Addr == paused.HTTP() && at.Registry.IsSuspect(s) == want
				})
			}
		}
		f.Net.Pause(paused.Addr, true)
		within(t, f, 12*time.Second, "suspect", isSuspect(true))
		f.Net.Reset(paused.Addr)
		f.Net.Pause(paused.Addr, false)
		within(t, f, 4*time.Second, "selected again", isSuspect(false))
	})
}

// Guards against a daemon that left gracefully, forwarder or not, but is suspected like a
// dead one, or is not accepted when it starts again.
func TestLeave(t *testing.T) {
	for name, forwarder := range map[string]bool{"plain": false, "forwarder": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet(t, 32, nil)
				defer f.Stop()
				leaving := find(f, func(d *emul.Daemon) bool { return d.Agent.IsForwarder() == forwarder && !d.Node.IsRoot() })[0]
				leaving.Stop()
				within(t, f, 3*time.Second, "gone", hasState(peers.Gone, leaving))
				within(t, f, 4*time.Second, "ranking", func(at *emul.Daemon) bool {
					return !slices.Contains(at.Agent.Forwarders(), leaving.Addr)
				})
				if n := f.Stats.Value("Peers.Suspected"); n != 0 {
					t.Errorf("%d daemons suspected", n)
				}
				leaving.Start()
				use(leaving)
				within(t, f, 4*time.Second, "back", hasState(peers.Ready, leaving))
			})
		})
	}
}

// Guards against dropping the servers of a data centre or region that is unreachable for a
// short time, and against keeping them forever when it does not come back.
func TestLostCentreDeferred(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := fleet(t, 16, nil)
		defer f.Stop()
		remote := find(f, func(d *emul.Daemon) bool { return d.Place.DataCentre == "dgp-a" })[0]
		ownSide := func(ok func(at *emul.Daemon) bool) func(at *emul.Daemon) bool {
			return func(at *emul.Daemon) bool { return at.Place.Region != "riga" || ok(at) }
		}
		suspect := func(want bool) func(at *emul.Daemon) bool {
			return ownSide(func(at *emul.Daemon) bool {
				return slices.ContainsFunc(at.Registry.Servers(remote.Service), func(s peers.Server) bool {
					return s.Addr == remote.HTTP() && at.Registry.IsSuspect(s) == want
				})
			})
		}
		f.Net.Partition("riga", "daugavpils", true)
		within(t, f, 18*time.Second, "suspect", suspect(true))
		time.Sleep(5 * time.Minute)
		within(t, f, 0, "still known", suspect(true))
		f.Net.Partition("riga", "daugavpils", false)
		within(t, f, 5*time.Second, "selected again", suspect(false))

		f.Net.Partition("riga", "daugavpils", true)
		time.Sleep(13 * time.Minute)
		within(t, f, 0, "forgotten", ownSide(hasState(peers.Gone, remote)))
		f.Net.Partition("riga", "daugavpils", false)
		within(t, f, 8*time.Second, "found again", suspect(false))
	})
}

// Guards against a data centre that does not recover when it loses all forwarders at once.
func TestForwardersLostTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet(t, 40, nil)
		defer f.Stop()
		lost := find(f, func(d *emul.Daemon) bool { return d.Place.DataCentre == "dgp-a" && d.Agent.IsForwarder() })
		for _, d := range lost {
			d.Kill()
		}
		time.Sleep(20 * time.Second)
		leaving := find(f, func(d *emul.Daemon) bool { return d.Place.DataCentre == "dgp-a" && d.Running() })[0]
		drain(leaving)
		within(t, f, drainTarget, "draining", hasState(peers.Draining, leaving))
		for _, d := range lost {
			d.Start()
			use(d)
		}
		time.Sleep(settled)
		for _, d := range lost {
			within(t, f, 0, "back", hasState(peers.Ready, d))
		}
	})
}

// Guards against daemons without contacts in their settings that never find each other.
func TestStartWithoutSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet(t, 40, func(f *emul.Fleet) { f.NoContacts = true })
		defer f.Stop()
		time.Sleep(settled)
		for _, d := range f.Daemons() {
			within(t, f, 0, "known", hasState(peers.Ready, d))
		}
		is := is.New(t)
		is.True(f.Converged(1))
	})
}
