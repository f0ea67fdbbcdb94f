package route

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestChooseAvoidsUnfitServers makes the first server, the only one in the data centre, unfit in a different way in each case.
func TestChooseAvoidsUnfitServers(t *testing.T) {
	remote := ident.Place{Region: "Daugavpils", DataCentre: "dgp-a"}
	near := ident.Place{Region: "Riga", DataCentre: "riga-b"}
	outcome := func(member ident.MemberID, o Outcome) func(*Chooser, []peers.Server) {
		return func(c *Chooser, list []peers.Server) {
			p, _ := c.Choose(Request{Service: "lessons", Member: member, Exclude: []ident.Addr{list[1].Addr, list[2].Addr}}, list)
			p.Done(o)
		}
	}
	state := func(s peers.State) func(*Chooser, []peers.Server) {
		return func(_ *Chooser, list []peers.Server) { list[0].State = s }
	}
	busy := func(n int, o Outcome) func(*Chooser, []peers.Server) {
		return func(c *Chooser, list []peers.Server) {
			for i := range 2 { // the two servers of the region
				for range 3 {
					p, _ := c.Choose(Request{Service: "lessons", Exclude: others(list, i)}, list)
					p.Done(Outcome{Latency: 10 * time.Millisecond})
				}
			}
			for i := range 2 {
				p, _ := c.Choose(Request{Service: "lessons", Exclude: others(list, i)}, list)
				p.Done(o)
			}
			for range n {
				_, _ = c.Choose(Request{Service: "lessons", Exclude: others(list, 0)}, list)
			}
			time.Sleep(15 * time.Millisecond)
		}
	}
	tests := map[string]struct {
		unfit func(c *Chooser, list []peers.Server)
		want  int // index of the server that is chosen
	}{
		"stalled server before a slow call has ended": {busy(6, Outcome{Latency: 10 * time.Millisecond}), 1},
		"queue of other daemons in the region":        {busy(0, Outcome{Latency: 10 * time.Millisecond, Waiting: 10}), 2},
		"fit server passed over":                      {func(*Chooser, []peers.Server) {}, 0},
		"new work for a draining server":              {state(peers.Draining), 1},
		"work for a starting server":                  {state(peers.Starting), 1},
		"work for a server that has left":             {state(peers.Gone), 1},
		"same server after a full queue":              {outcome("office", Outcome{Refused: refuse.QueueFull}), 1},
		"same server after load shedding":             {outcome("office", Outcome{Refused: refuse.Shedding}), 1},
		"server that has begun to drain":              {outcome("office", Outcome{Refused: refuse.Draining}), 1},
		"server that refuses connections":             {outcome("office", Outcome{ConnRefused: true}), 1},
		"holder whose cap is reached":                 {outcome("office", Outcome{Refused: refuse.CapReached}), 1},
		"pause for another member's cap":              {outcome("small", Outcome{Refused: refuse.CapReached}), 0},
		"pause for another member's queue":            {outcome("small", Outcome{Refused: refuse.QueueFull}), 0},
		"missed heartbeats ignored": {func(c *Chooser, list []peers.Server) {
			sendCalls(c, list, 1, constant(0))
			c.d.Suspect = func(s peers.Server) bool { return s.Addr == list[0].Addr }
		}, 1},
		"no server left when all are suspect": {func(c *Chooser, _ []peers.Server) {
			c.d.Suspect = func(peers.Server) bool { return true }
		}, 0},
		"draining server kept from a suspect one": {func(c *Chooser, list []peers.Server) {
			list[1].State, list[2].State = peers.Draining, peers.Draining
			c.d.Suspect = func(s peers.Server) bool { return s.Addr == list[0].Addr }
		}, 0},
		"fast failures taken for low latency": {func(c *Chooser, list []peers.Server) {
			for range 3 {
				outcome("office", Outcome{Failed: true})(c, list)
			}
		}, 1},
		"call to a server whose slots are taken": {func(c *Chooser, list []peers.Server) {
			for range list[0].Slots {
				_, _ = c.Choose(Request{Service: "lessons"}, list)
			}
		}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, list := newChooser(), servers(3, here, near, remote)
				tt.unfit(c, list)
				p, err := c.Choose(Request{Service: "lessons", Member: "office"}, list)
				is.NoErr(err)
				is.Equal(p.Server.Addr, list[tt.want].Addr)
			})
		})
	}
}

// TestChooseUsesPaidLinkLast guards against a call that is sent although no server can take it, and
// against paid traffic while the servers of the region can take the call.
func TestChooseUsesPaidLinkLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		remote := ident.Place{Region: "Daugavpils", DataCentre: "dgp-a"}
		c, list := newChooser(), servers(2, here, remote)
		got := sendCalls(c, list, 500, func(a ident.Addr) time.Duration {
			if a == list[0].Addr {
				return 100 * time.Millisecond // the distant server is faster
			}
			return 41 * time.Millisecond
		})
		is.Equal(got[list[1].Addr], 0)
		p, err := c.Choose(Request{Service: "lessons", Exclude: []ident.Addr{list[0].Addr}}, list)
		is.NoErr(err)
		is.Equal(p.Server.Addr, list[1].Addr)
		_, err = c.Choose(Request{Service: "lessons", Hedge: true, Exclude: []ident.Addr{list[0].Addr}}, list)
		is.True(err != nil) // a hedge does not cross the link
		p.Done(Outcome{Refused: refuse.QueueFull})
		_, err = c.Choose(Request{Service: "lessons", Exclude: []ident.Addr{list[0].Addr}}, list)
		is.True(err != nil) // nor does a call that was just refused there
		_, err = c.Choose(Request{Service: "lessons", Exclude: []ident.Addr{list[0].Addr, list[1].Addr}}, list)
		var r *refuse.Refusal
		is.True(errors.As(err, &r))
		is.Equal(r.Reason, refuse.NoServer)
		is.Equal(r.Ran, refuse.RanNo)
	})
}

// TestHedgeGoesToAnIdleServer guards against hedges that lengthen a queue, and against calls at a slow
// server that get no hedge.
func TestHedgeGoesToAnIdleServer(t *testing.T) {
	tests := map[string]struct {
		waiting int
		first   time.Duration // age of the calls at the first server
		want    bool
	}{
		"idle server not used":                  {0, 5 * time.Millisecond, true},
		"hedge behind a queue":                  {1, 5 * time.Millisecond, false},
		"call at a slow server left on its own": {1, 80 * time.Millisecond, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, list := newChooser(), servers(2, here)
				for range 4 {
					for i := range list {
						p, _ := c.Choose(Request{Service: "lessons", Exclude: others(list, i)}, list)
						p.Done(Outcome{Latency: 10 * time.Millisecond})
					}
				}
				_, _ = c.Choose(Request{Service: "lessons", Exclude: others(list, 0)}, list)
				time.Sleep(tt.first)
				p, _ := c.Choose(Request{Service: "lessons", Exclude: others(list, 1)}, list)
				p.Done(Outcome{Latency: 10 * time.Millisecond, Waiting: tt.waiting})
				_, err := c.Choose(Request{Service: "lessons", Hedge: true, Exclude: others(list, 1)}, list)
				is.Equal(err == nil, tt.want)
			})
		})
	}
}

// TestCancelledProbeIsDelayed guards against probes that follow each other without a pause because
// faster hedged calls cancel them.
func TestCancelledProbeIsDelayed(t *testing.T) {
	is := is.New(t)
	c, list := newChooser(), servers(4, here)
	p := newPool(&c.d.Config, here)
	p.updateServers(list, 0)
	n := p.nodes[0]
	is.True(p.startProbation(n, 0))
	n.probing = true
	p.done(n, call{probe: true}, time.Second, Outcome{Refused: refuse.Cancelled}, c.d.Random)
	is.Equal(n.probeAt, time.Second+2*c.d.Config.ProbeEvery)
	is.True(n.probation && !n.probing)
}

// TestProbation guards against slow servers that keep their traffic or never get it back, and against
// more than a third of the servers on probation.
func TestProbation(t *testing.T) {
	tests := map[string]struct {
		servers, slow, probation int
	}{
		"one of four":                  {4, 1, 1},
		"two of four":                  {4, 2, 1},
		"four of twelve":               {12, 4, 4},
		"six of twelve":                {12, 6, 4},
		"general slowdown of all four": {4, 4, 0},
		"one of two":                   {2, 1, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, list := newChooser(), servers(tt.servers, here)
				slow := map[ident.Addr]bool{}
				latency := func(a ident.Addr) time.Duration {
					if slow[a] {
						return 100 * time.Millisecond
					}
					return 10 * time.Millisecond
				}
				everywhere := func(n int) {
					for range n {
						for i := range list {
							p, err := c.Choose(Request{Service: "lessons", Exclude: others(list, i)}, list)
							is.NoErr(err)
							time.Sleep(latency(p.Server.Addr))
							p.Done(Outcome{Latency: latency(p.Server.Addr)})
						}
					}
				}
				everywhere(5)
				for i := range tt.slow {
					slow[list[i].Addr] = true
				}
				everywhere(8) // recognised within a few calls
				is.Equal(c.shards[shardOf("lessons")].pools["lessons"].probation, tt.probation)
				got := sendCalls(c, list, 1000, latency)
				if tt.slow == 1 && tt.probation == 1 {
					n := got[list[0].Addr]
					is.True(n > 0 && n <= 10) // tried again with at most 1% of the calls
				}
				clear(slow)
				sendCalls(c, list, 2000*tt.servers, latency)
				is.Equal(c.shards[shardOf("lessons")].pools["lessons"].probation, 0)
			})
		})
	}
}

func others(list []peers.Server, i int) []ident.Addr {
	var out []ident.Addr
	for j := range list {
		if j != i {
			out = append(out, list[j].Addr)
		}
	}
	return out
}

// TestColdServerIsWarmedUp guards against a cold server that receives its full share at once.
func TestColdServerIsWarmedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, list := newChooser(), servers(2, here)
		for i := range list {
			list[i].Slots = 100
		}
		sendCalls(c, list[:1], 10, constant(time.Millisecond))
		begin := func() int {
			n := 0
			for range 60 {
				p, err := c.Choose(Request{Service: "lessons"}, list)
				is.NoErr(err)
				if p.Server.Addr == list[1].Addr {
					n++
				}
				defer p.Done(Outcome{Refused: refuse.Cancelled})
			}
			return n
		}
		is.True(begin() <= 10)
		time.Sleep(DefaultConfig().WarmUp)
		is.True(begin() > 10)
	})
}

// TestSlowServerNearbyIsRecognised guards against a daemon that only uses the server beside it and so
// cannot recognise that this server is slow.
func TestSlowServerNearbyIsRecognised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, list := newChooser(), servers(4, here, ident.Place{Region: "Riga", DataCentre: "riga-b"})
		got := sendCalls(c, list[:2], 300, func(a ident.Addr) time.Duration {
			if a == list[0].Addr {
				return 100 * time.Millisecond
			}
			return 10 * time.Millisecond
		})
		is.True(got[list[0].Addr] <= 30)
	})
}

// TestPastSlownessDecays guards against a server that gets no more calls because it was slow once, though
// not slow enough for probation.
func TestPastSlownessDecays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, list := newChooser(), servers(4, here)
		slow := list[0].Addr
		for _, s := range list {
			if ident.RendezvousScore("office", s.Addr) > ident.RendezvousScore("office", slow) {
				slow = s.Addr
			}
		}
		latency := func(a ident.Addr) time.Duration {
			if a == slow {
				return 28 * time.Millisecond
			}
			return 10 * time.Millisecond
		}
		sendCalls(c, list, 500, latency)
		is.True(sendCalls(c, list, 500, latency)[slow] <= 50) // avoided while slow
		time.Sleep(time.Minute)
		is.True(sendCalls(c, list, 500, constant(10*time.Millisecond))[slow] > 400)
	})
}

// TestChoosePrefersTheMembersFirstServer guards against a member's calls that are spread although the server
// ranked first has free slots, and against calls that all go to that server although it has none.
func TestChoosePrefersTheMembersFirstServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, list := newChooser(), servers(8, here)
		best := list[0].Addr
		for _, s := range list {
			if ident.RendezvousScore("office", s.Addr) > ident.RendezvousScore("office", best) {
				best = s.Addr
			}
		}
		sendCalls(c, list, 200, constant(10*time.Millisecond)) // each server is observed a few times first
		got := sendCalls(c, list, 200, constant(10*time.Millisecond))
		is.True(got[best] >= 190)
		used := map[ident.Addr]int{}
		for range 36 {
			p, err := c.Choose(Request{Service: "lessons", Member: "office"}, list)
			is.NoErr(err)
			used[p.Server.Addr]++
		}
		is.True(len(used) >= 7)
		is.True(used[best] <= 9) // its slots
	})
}

// TestReportIsAHint guards against a load report that takes precedence over newer observations of this daemon.
func TestReportIsAHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, list := newChooser(), servers(2, here)
		sendCalls(c, list, 20, constant(time.Millisecond))
		p, err := c.Choose(Request{Service: "lessons", Member: "office"}, list)
		is.NoErr(err)
		p.Done(Outcome{Latency: time.Millisecond})
		time.Sleep(time.Millisecond)
		c.Report("lessons", p.Server.Addr, 9)
		q, err := c.Choose(Request{Service: "lessons", Member: "office"}, list)
		is.NoErr(err)
		is.True(q.Server.Addr != p.Server.Addr) // the report is the newest information
		time.Sleep(time.Second)
		q, err = c.Choose(Request{Service: "lessons", Member: "office"}, list)
		is.NoErr(err)
		is.Equal(q.Server.Addr, p.Server.Addr) // the report has aged
	})
}

// TestHedgeAfter guards against a hedge delay from too few calls or from calls of the other class.
func TestHedgeAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, list := newChooser(), servers(4, here)
		sendCalls(c, list, 19, constant(10*time.Millisecond))
		_, ok := c.HedgeAfter("lessons", agree.Short)
		is.True(!ok)
		n := 0
		sendCalls(c, list, 400, func(ident.Addr) time.Duration {
			n++
			if n%20 < 2 { // called twice per request, so one request in twenty
				return 100 * time.Millisecond
			}
			return 10 * time.Millisecond
		})
		d, ok := c.HedgeAfter("lessons", agree.Short)
		is.True(ok)
		is.True(d >= 9*time.Millisecond && d <= 110*time.Millisecond)
		_, ok = c.HedgeAfter("lessons", agree.Long)
		is.True(!ok)
	})
}
