package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// touch is the bound touch_s of the small deployments.
const touch = 3 * time.Second

func services(names ...string) []any {
	var out []any
	for _, n := range names {
		out = append(out, map[string]any{"name": n, "health_path": "/healthz", "max_conns": 120, "protocol": "h1", "tls": false})
	}
	return out
}

// feeRoute leads to the service registry. Its requests may run once.
func feeRoute() map[string]any {
	return map[string]any{
		"name": "fee-pay", "host": "school.example", "prefix": "/fee/", "kind": "unsafe", "timeout_s": 1, "goal_s": 0.25,
		"priority": 1, "service": "registry", "max_attempts": 2,
	}
}

func crashConfig() map[string]any {
	return map[string]any{
		"routes": []any{feeRoute()}, "services": services("lessons", "registry"),
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}

// crashLedger counts the retries of a request that crashes targets.
type crashLedger struct {
	c     *cluster
	sent  int
	third time.Time // when the third target crashed; zero: not yet
	late  int       // retries that reached a target later than touch after that, sent by machines in touch
}

// send sends the request once more at machine m.
func (l *crashLedger) send(m *machine, path string) outcome {
	id := fmt.Sprintf("again-%d", l.sent)
	l.sent++
	late := !l.third.IsZero() && time.Since(l.third) > touch && m.inTouch()
	out := ask(l.c.rec, m.name, m.addr("outbound"), request{"POST", "school.example", path, id, time.Second, "fee"})
	if late && l.c.totalRuns(id) > 0 {
		l.late++
		l.c.rec.log("%s reached a target later than %v after the third crash: %d such retries", id, touch, l.late)
	}
	crashes := 0
	for _, m := range l.c.machines {
		crashes += m.target.crashCount()
	}
	if crashes >= 3 && l.third.IsZero() {
		l.third = time.Now()
	}
	return out
}

// verdict judges the rule: more than three late retries break it.
func (l *crashLedger) verdict() verdict {
	return verdict{l.late > 3, fmt.Sprintf("%d retries reached targets later than %v after the request had crashed the third; allowed are 3", l.late, touch)}
}

// crashSame is a case about a request that crashes each target that begins to run it, and comes again at the same machine.
var crashSame = play{
	places: []place{{"riga-a", "lessons"}, {"riga-a", "registry"}, {"riga-b", "lessons"}, {"riga-b", "registry"}},
	slots:  9, config: crashConfig(),
	run: func(c *cluster, trouble bool) (verdict, error) {
		entry := c.machine("riga-a", "lessons")
		time.Sleep(touch + time.Second) // all machines are in touch
		path := "/fee/ordinary"
		if trouble {
			path = "/fee/crash"
		}
		l := &crashLedger{c: c}
		for range 9 {
			if out := l.send(entry, path); !trouble && out.status != 200 {
				return verdict{}, fmt.Errorf("an ordinary request failed: %s", out.how)
			}
			time.Sleep(6 * time.Second)
		}
		return l.verdict(), nil
	},
}

// crashRoll is a case about such a request that comes again at any machine, around a rolling restart of the daemons.
var crashRoll = play{
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
		var entries []*machine
		for _, m := range c.machines {
			if m.service == "lessons" {
				entries = append(entries, m)
			}
		}
		time.Sleep(touch + time.Second) // all machines are in touch
		l := &crashLedger{c: c}
		var roll sync.WaitGroup
		start := time.Now()
		for i := 0; time.Since(start) < 80*time.Second; i++ {
			if i == 5 && trouble {
				roll.Go(func() { rollTerm(c, 2*time.Second) })
			}
			l.send(entries[i%len(entries)], "/fee/crash")
			time.Sleep(2 * time.Second)
		}
		roll.Wait()
		return l.verdict(), nil
	},
}

// rollTerm stops the daemons with SIGTERM, one each gap, and starts each again when it has ended.
func rollTerm(c *cluster, gap time.Duration) {
	var restarts sync.WaitGroup
	for _, m := range c.machines {
		m.signal(syscall.SIGTERM)
		restarts.Go(func() {
			if err := m.restart(300 * time.Millisecond); err != nil {
				c.rec.log("daemon of %s does not start: %v", m.name, err)
			}
		})
		time.Sleep(gap)
	}
	restarts.Wait()
}

// crashCount returns how often the target crashed.
func (t *target) crashCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.crashes)
}

func init() {
	cases["crash-same"] = crashSame
	cases["crash-roll"] = crashRoll
}
