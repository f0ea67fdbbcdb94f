package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// share counts the requests of a route in a span of the play.
type share struct{ sent, served atomic.Int64 }

func (s *share) of() float64 { return float64(s.served.Load()) / max(1, float64(s.sent.Load())) }

// load sends a request each interval until stop is closed. next returns the n-th request; counted tells whether it counts.
func load(c *cluster, m *machine, interval time.Duration, stop <-chan struct{}, counted *atomic.Bool, s *share, next func(n int) request) {
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(interval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		count := counted.Load()
		wg.Go(func() {
			out := ask(c.rec, m.name, m.addr("outbound"), next(n))
			if !count {
				return
			}
			s.sent.Add(1)
			if out.status == 200 && out.stamp != "" {
				s.served.Add(1)
			}
		})
	}
}

// popular is a case about an ordinary request that many callers send alike, on a route that was added later. Two targets
// crash, one after the other, while they run such requests.
var popular = play{
	places: []place{
		{"riga-a", "lessons"},
		{"riga-a", "registry"},
		{"dgp-a", "lessons"},
		{"dgp-a", "registry"},
		{"riga-b", "lessons"},
		{"riga-b", "registry"},
		{"dgp-b", "lessons"},
		{"dgp-b", "registry"},
	},
	slots: 9, config: crashConfig(),
	run: func(c *cluster, trouble bool) (verdict, error) {
		const (
			down  = 4500 * time.Millisecond
			pause = 3 * time.Second
		)
		added := crashConfig()
		added["routes"] = []any{feeRoute(), map[string]any{
			"name": "timetable-read", "host": "school.example", "prefix": "/timetable/", "kind": "safe", "timeout_s": 1, "goal_s": 0.5,
			"priority": 2, "service": "registry", "max_attempts": 2,
		}}
		time.Sleep(touch + time.Second) // all machines are in touch
		c.configure(added)
		time.Sleep(touch)
		entry := c.machine("riga-a", "lessons")
		var first, later share
		var counted atomic.Bool
		stop := make(chan struct{})
		var loads sync.WaitGroup
		loads.Go(func() {
			load(c, entry, 100*time.Millisecond, stop, &counted, &first, func(n int) request {
				return request{"POST", "school.example", fmt.Sprintf("/fee/work40/%d", n), fmt.Sprintf("fee-%d", n), time.Second, fmt.Sprintf("fee %d", n)}
			})
		})
		loads.Go(func() {
			load(c, entry, 50*time.Millisecond, stop, &counted, &later, func(n int) request {
				return request{"GET", "school.example", "/timetable/work130/today", fmt.Sprintf("timetable-%d", n), 2 * time.Second, ""}
			})
		})
		time.Sleep(3 * time.Second)
		if trouble {
			c.machine("riga-a", "registry").target.crash(down)
			time.Sleep(pause)
			c.machine("riga-b", "registry").target.crash(down)
		} else {
			time.Sleep(pause)
		}
		time.Sleep(down + touch + 5*time.Second) // both are back, and have been for long
		counted.Store(true)
		c.rec.log("steady state begins")
		time.Sleep(30 * time.Second)
		close(stop)
		loads.Wait()
		broken := later.sent.Load() >= 20 && later.of() < first.of()/4
		return verdict{broken, fmt.Sprintf("in steady state %d of %d requests on the route added later are served, and %d of %d on the first route",
			later.served.Load(), later.sent.Load(), first.served.Load(), first.sent.Load())}, nil
	},
}

func init() { cases["popular"] = popular }
