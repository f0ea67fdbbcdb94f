package admit

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// newGate returns a Gate of the given number of slots without a cold start.
func newGate(slots ident.Units) *Gate {
	cfg := DefaultConfig()
	cfg.ColdShare = 1
	g := New(cfg, stats.New(), event.Discard())
	g.Configure(slots, peers.Ready)
	return g
}

// runCall runs a call that takes d and returns the reason of its refusal, if any.
func runCall(ctx context.Context, g *Gate, req Request, d time.Duration) refuse.Reason {
	t, err := g.Enter(ctx, req)
	if err != nil {
		r := refuse.From(err)
		if r.Ran != refuse.RanNo {
			return "ran"
		}
		return r.Reason
	}
	time.Sleep(d)
	t.Done(Outcome{Service: d})
	return ""
}

// holdSlots takes n slots and never releases them.
func holdSlots(t *testing.T, g *Gate, n int, req Request) {
	t.Helper()
	for range n {
		if _, err := g.Enter(t.Context(), req); err != nil {
			t.Fatal(err)
		}
	}
}

// observeCalls runs ten calls that take d, so that the gate learns their service time.
func observeCalls(g *Gate, req Request, d time.Duration) {
	for range 10 {
		runCall(context.Background(), g, req, d)
	}
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// TestEnterRefuses checks that every refusal has its reason, states that the call did not run and is counted.
func TestEnterRefuses(t *testing.T) {
	short := Request{Member: "office", Class: agree.Short, Route: "book"}
	tests := map[string]struct {
		prepare func(t *testing.T, g *Gate) context.Context
		want    refuse.Reason
	}{
		"wait for a slot that comes too late": {func(t *testing.T, g *Gate) context.Context {
			observeCalls(g, short, 100*time.Millisecond)
			holdSlots(t, g, 2, short)
			go runCall(t.Context(), g, short, 0)
			synctest.Wait()
			return withTimeout(t, 150*time.Millisecond)
		}, refuse.DeadlineTooShort},
		"run that is longer than the deadline": {func(t *testing.T, g *Gate) context.Context {
			observeCalls(g, short, 100*time.Millisecond)
			return withTimeout(t, 50*time.Millisecond)
		}, refuse.DeadlineTooShort},
		"queue without bound": {func(t *testing.T, g *Gate) context.Context {
			holdSlots(t, g, 2, short)
			for range g.cfg.QueuePerMember {
				go runCall(t.Context(), g, short, 0)
			}
			synctest.Wait()
			return t.Context()
		}, refuse.QueueFull},
		"wait beyond the deadline": {func(t *testing.T, g *Gate) context.Context {
			holdSlots(t, g, 2, short)
			return withTimeout(t, time.Second)
		}, refuse.DeadlinePassed},
		"slot for a caller that has left": {func(t *testing.T, g *Gate) context.Context {
			holdSlots(t, g, 2, short)
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(time.Second, cancel)
			return ctx
		}, refuse.Cancelled},
		"work for a starting server": {func(t *testing.T, g *Gate) context.Context {
			g.Configure(2, peers.Starting)
			return t.Context()
		}, refuse.Starting},
		"new work for a draining server": {func(t *testing.T, g *Gate) context.Context {
			g.Configure(2, peers.Draining)
			return t.Context()
		}, refuse.Draining},
		"queued work for a draining server": {func(t *testing.T, g *Gate) context.Context {
			holdSlots(t, g, 2, short)
			time.AfterFunc(time.Second, func() { g.Configure(2, peers.Draining) })
			return t.Context()
		}, refuse.Draining},
		"refusal of a call that fits": {func(t *testing.T, _ *Gate) context.Context { return withTimeout(t, time.Second) }, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newGate(2)
				ctx := tt.prepare(t, g)
				before := g.stats.Value("Refused." + string(tt.want) + ".no")
				is.Equal(runCall(ctx, g, short, 0), tt.want)
				if tt.want != "" {
					is.True(g.stats.Value("Refused."+string(tt.want)+".no") > before) // counted
				}
				g.Configure(2, peers.Draining) // ends the waiting goroutines
			})
		})
	}
}

// TestSlotsAreNeverLostOrExceeded guards against a slot that is lost when it is granted while the caller cancels.
func TestSlotsAreNeverLostOrExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate(4)
		var wg sync.WaitGroup
		for i := range 2000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Microsecond)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i%7)*time.Millisecond)
				defer cancel()
				req := Request{Member: ident.MemberID(fmt.Sprint(i % 5)), Class: []agree.Class{agree.Short, agree.Long}[i%2], Route: ident.RouteID(fmt.Sprint(i % 2))}
				t, err := g.Enter(ctx, req)
				if err != nil {
					return
				}
				if g.InUse() > 4 {
					panic("more calls than slots")
				}
				time.Sleep(time.Duration(1+i%3) * time.Millisecond)
				t.Done(Outcome{Service: time.Duration(1+i%3) * time.Millisecond})
				t.Done(Outcome{}) // no effect
			})
		}
		wg.Wait()
		is.Equal(g.InUse(), ident.Units(0))
		holdSlots(t, g, 4, Request{Class: agree.Short})
	})
}

// TestReserveForShortWork guards against long work, declared or observed, that takes the slots of short work.
func TestReserveForShortWork(t *testing.T) {
	tests := map[string]struct {
		class    agree.Class
		observed time.Duration
	}{
		"declared long":              {agree.Long, 0},
		"declared short, takes long": {agree.Short, time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newGate(9)
				observeCalls(g, Request{Class: agree.Short, Route: "book"}, 10*time.Millisecond)
				observeCalls(g, Request{Class: agree.Short, Route: "book"}, 10*time.Millisecond)
				long := Request{Member: "large", Class: tt.class, Route: "export"}
				if tt.observed > 0 {
					for range 4 {
						runCall(t.Context(), g, long, tt.observed)
					}
				}
				for range 20 {
					go runCall(t.Context(), g, long, time.Minute)
				}
				synctest.Wait()
				is.Equal(g.InUse(), ident.Units(6))
				is.Equal(runCall(t.Context(), g, Request{Member: "office", Class: agree.Short, Route: "book"}, 0), refuse.Reason(""))
				is.NoErr(g.Drain(t.Context()))
			})
		})
	}
}

// TestMembersShareTheSlots guards against a flood of calls of one member that delays or displaces those of another.
func TestMembersShareTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate(2)
		large := Request{Member: "large", Class: agree.Short, Route: "book"}
		small := Request{Member: "small", Class: agree.Short, Route: "book"}
		observeCalls(g, small, 10*time.Millisecond)
		var refused atomic.Int64
		var wg sync.WaitGroup
		for range 200 {
			wg.Go(func() {
				if runCall(t.Context(), g, large, 10*time.Millisecond) != "" {
					refused.Add(1)
				}
			})
		}
		synctest.Wait()
		is.Equal(int(refused.Load()), 200-2-g.cfg.QueuePerMember)
		for range 10 {
			is.Equal(runCall(withTimeout(t, 50*time.Millisecond), g, small, 10*time.Millisecond), refuse.Reason(""))
		}
		wg.Wait()
	})
}

// TestEarlierDeadlineGoesFirst guards against a call that has crossed regions and waits again behind calls that
// have just arrived, and against calls without a deadline that overtake others.
func TestEarlierDeadlineGoesFirst(t *testing.T) {
	is := is.New(t)
	r := newScheduler()
	for _, d := range []time.Duration{0, 900, 980, 940, 980, 0} {
		r.push(&waiter{member: "office", cost: float64(r.waiting), deadline: d})
	}
	var got []float64
	for r.waiting > 0 {
		got = append(got, r.pop(1).cost)
	}
	is.Equal(got, []float64{1, 3, 2, 4, 0, 5})
}

// TestSchedulerSharesServiceTime guards against a member that gets more service time by sending longer calls.
func TestSchedulerSharesServiceTime(t *testing.T) {
	is := is.New(t)
	r := newScheduler()
	for range 300 {
		r.push(&waiter{member: "short", cost: 0.01})
		r.push(&waiter{member: "medium", cost: 0.03})
	}
	served := map[ident.MemberID]float64{}
	for range 200 {
		w := r.pop(0.001)
		served[w.member] += w.cost
	}
	is.True(served["short"] > 0.95*served["medium"] && served["short"] < 1.05*served["medium"])
}

// TestLimitAdapts guards against too many calls at a backend server that is cold, sheds load or slows down,
// and against a limit that stays too low.
func TestLimitAdapts(t *testing.T) {
	short := Request{Member: "office", Class: agree.Short, Route: "book"}
	tests := map[string]struct {
		run        func(g *Gate)
		least, top ident.Units
	}{
		"all slots of a cold server": {func(*Gate) {}, 3, 3},
		"slots withheld from a warm server": {func(g *Gate) {
			observeCalls(g, short, 10*time.Millisecond)
		}, 12, 12},
		"full limit after load shedding": {func(g *Gate) {
			observeCalls(g, short, 10*time.Millisecond)
			t, _ := g.Enter(context.Background(), short)
			t.Done(Outcome{Shed: true})
		}, 8, 8},
		"limit of one step per shed call": {func(g *Gate) {
			observeCalls(g, short, 10*time.Millisecond)
			for range 5 {
				t, _ := g.Enter(context.Background(), short)
				t.Done(Outcome{Shed: true})
			}
		}, 8, 8},
		"limit raised by a repeated announcement": {func(g *Gate) {
			observeCalls(g, short, 10*time.Millisecond)
			t, _ := g.Enter(context.Background(), short)
			t.Done(Outcome{Shed: true})
			g.Configure(12, peers.Ready)
			runCall(context.Background(), g, short, 10*time.Millisecond)
			runCall(context.Background(), g, short, 10*time.Millisecond)
		}, 8, 8},
		"limit that never recovers": {func(g *Gate) {
			observeCalls(g, short, 10*time.Millisecond)
			t, _ := g.Enter(context.Background(), short)
			t.Done(Outcome{Shed: true})
			for range 6 {
				observeCalls(g, short, 10*time.Millisecond)
			}
		}, 12, 12},
		"limit lowered because the first call was fast": {func(g *Gate) {
			runCall(context.Background(), g, short, time.Millisecond)
			observeCalls(g, short, 10*time.Millisecond)
		}, 12, 12},
		"full limit while latency climbs": {func(g *Gate) {
			for range 6 {
				observeCalls(g, short, 10*time.Millisecond)
			}
			var wg sync.WaitGroup
			for range 60 {
				wg.Go(func() { runCall(context.Background(), g, short, 100*time.Millisecond) })
			}
			wg.Wait()
		}, 6, 11},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(DefaultConfig(), stats.New(), event.Discard())
				g.Configure(12, peers.Ready)
				tt.run(g)
				if l := g.Limit(); l < tt.least || l > tt.top {
					t.Errorf("limit %d, want %d to %d", l, tt.least, tt.top)
				}
			})
		})
	}
}

// TestRestartBeginsCold guards against a new process that gets as many calls as a warm one, and
// against calls in flight that are no longer counted.
func TestRestartBeginsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New(DefaultConfig(), stats.New(), event.Discard())
		g.Configure(8, peers.Ready)
		for range 20 {
			is.Equal(runCall(t.Context(), g, Request{Member: "m"}, time.Millisecond), refuse.Reason(""))
		}
		is.Equal(g.Limit(), ident.Units(8)) // warm
		g.Configure(8, peers.Ready)
		is.Equal(g.Limit(), ident.Units(8)) // a repeated announcement changes nothing
		holdSlots(t, g, 3, Request{Member: "m"})
		g.Restart(12, peers.Ready)
		is.Equal(g.Limit(), ident.Units(3)) // a quarter of the new slots
		is.Equal(g.InUse(), ident.Units(3))
		g.Restart(12, peers.Draining)
		is.Equal(runCall(t.Context(), g, Request{Member: "m"}, time.Millisecond), refuse.Draining)
	})
}

// TestDrain guards against a graceful stop that cuts a call off, admits a new one or never ends.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate(2)
		req := Request{Member: "office", Class: agree.Short}
		var got refuse.Reason = "not ended"
		go func() { got = runCall(t.Context(), g, req, time.Second) }()
		synctest.Wait()
		begin := time.Now()
		is.True(g.Drain(withTimeout(t, 100*time.Millisecond)) != nil) // one call in flight
		is.Equal(runCall(t.Context(), g, req, 0), refuse.Draining)
		is.NoErr(g.Drain(t.Context()))
		is.Equal(time.Since(begin), time.Second)
		synctest.Wait()
		is.Equal(got, refuse.Reason("")) // the call was not cut
	})
}

// TestEarlyRefusalEnds guards against an estimate from a slow period that makes the gate refuse all calls for ever.
func TestEarlyRefusalEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate(2)
		req := Request{Member: "office", Class: agree.Short, Route: "book"}
		observeCalls(g, req, time.Second)
		is.Equal(runCall(withTimeout(t, 100*time.Millisecond), g, req, 0), refuse.DeadlineTooShort)
		time.Sleep(10 * time.Second)
		is.Equal(runCall(withTimeout(t, 100*time.Millisecond), g, req, time.Millisecond), refuse.Reason(""))
	})
}
