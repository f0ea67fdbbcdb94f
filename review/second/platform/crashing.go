package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// crashable is a target that ends when it begins to run a request below crashPath, and is back after backAfter as a new process.
type crashable struct {
	rec       *record
	m         *machine
	addr      string
	crashPath string

	mu      sync.Mutex
	n       int
	cur     *target
	srv     *http.Server
	crashes []run
}

// backAfter is how long a crashed target is away ("the target is back after some seconds").
const backAfter = 2 * time.Second

func newCrashable(rec *record, m *machine, crashPath string) *crashable {
	c := &crashable{rec: rec, m: m, addr: m.app, crashPath: crashPath}
	c.start(m.appLn)
	return c
}

func (c *crashable) start(ln net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	t := &target{
		id: fmt.Sprintf("i-%s-%d", strings.ReplaceAll(c.m.name, "side-", ""), c.n), service: c.m.service, zone: c.m.zone, addr: c.addr,
		control: c.m.control, slots: 9, born: time.Now().UnixMilli(), work: 20 * time.Millisecond, rec: c.rec,
	}
	srv := &http.Server{}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e := r.Header.Get(hdrExpect)
		if !strings.HasPrefix(r.URL.Path, c.crashPath) || (e != "" && e != t.id) {
			t.serve(w, r)
			return
		}
		c.crash(t, srv, run{at: time.Now(), id: r.Header.Get(hdrID), instance: t.id, service: t.service, path: r.URL.Path, caller: r.Header.Get(hdrCaller)})
		panic(http.ErrAbortHandler)
	})
	c.cur, c.srv = t, srv
	go func() { _ = srv.Serve(ln) }()
	t.startBeats()
}

// crash ends the process of t, once.
func (c *crashable) crash(t *target, srv *http.Server, r run) {
	c.mu.Lock()
	c.crashes = append(c.crashes, r)
	first := c.cur == t
	if first {
		c.cur = nil
	}
	c.mu.Unlock()
	c.rec.log("crash     id=%s crashes target %s path=%s caller=%s", r.id, t.id, r.path, r.caller)
	if !first {
		return
	}
	t.stopBeats()
	_ = srv.Close() // the listener and all connections
	go func() {
		time.Sleep(backAfter)
		ln, err := net.Listen("tcp", c.addr)
		if err != nil {
			c.rec.log("error     %v", err)
			return
		}
		c.start(ln)
		c.rec.log("target    of %s is back", c.m.name)
	}()
}

func (c *crashable) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cur != nil {
		c.cur.stopBeats()
	}
}

func init() { cases["crashing"] = caseCrashing }

// caseCrashing checks BUDGET: a request that crashes targets reaches them in at most three retries later than touch_s after its third crash.
// With trouble, configurations add more specific routes for the request's path to the same service.
func caseCrashing(rec *record, dir string, trouble bool) error {
	const touch = 3 * time.Second
	const path = "/check/a/b/c/d/7f"
	st, err := startStore()
	if err != nil {
		return err
	}
	services := []string{"bookings", "registry"}
	routes := [][5]string{
		{"r-check", "seats.example", "/check/", "safe", "bookings"},
		{"r-view", "seats.example", "/view/", "safe", "bookings"},
		{"r-reg", "reg.example", "/reg/", "safe", "registry"},
	}
	st.put("op/config", config(7, services, routes))
	var ms, callers []*machine
	var cs []*crashable
	for i, m := range []struct{ zone, region, service string }{
		{"riga-a", "riga", "bookings"},
		{"riga-b", "riga", "bookings"},
		{"dgp-a", "daugavpils", "bookings"},
		{"dgp-b", "daugavpils", "registry"},
		{"riga-a", "riga", "registry"},
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
		if m.service == "registry" {
			callers = append(callers, vm)
		}
	}
	if err := awaitReady(ms, 15*time.Second); err != nil {
		return err
	}
	for _, vm := range ms {
		c := newCrashable(rec, vm, "/check/a/b/c/d/")
		defer c.end()
		cs = append(cs, c)
	}
	time.Sleep(6 * time.Second)
	served := 0
	for i := range 40 {
		if send(rec, callers[i%2], "GET", "seats.example", "/view/1", 1200*time.Millisecond).status == 200 {
			served++
		}
	}
	if served < 36 {
		return fmt.Errorf("calm: %d of 40 served", served)
	}

	sent := 0
	again := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(700 * time.Millisecond) {
			send(rec, callers[sent%2], "GET", "seats.example", path, 1200*time.Millisecond)
			sent++
		}
	}
	again(8 * time.Second)
	prefix := "/check/"
	for i, part := range []string{"a/", "b/", "c/", "d/"} {
		prefix += part
		routes = append(routes, [5]string{"r-check-" + part[:1], "seats.example", prefix, "safe", "bookings"})
		if trouble {
			st.put("op/config", config(10+3*i, services, routes))
			rec.log("config    r%d adds the route %s of the same service", 10+3*i, prefix)
		}
		again(8 * time.Second)
	}
	var all []run
	for _, c := range cs {
		c.mu.Lock()
		all = append(all, c.crashes...)
		c.mu.Unlock()
	}
	sortRuns(all)
	late := 0
	for i, r := range all {
		if i >= 3 && r.at.After(all[2].at.Add(touch)) {
			late++
		}
	}
	rec.log("count     %d sent, %d reached a target and crashed it, %d of them later than touch_s after the third crash", sent, len(all), late)
	if late > 3 {
		return fmt.Errorf("%w: BUDGET: the request crashed targets %d times, %d retries later than touch_s after the third crash (3 allowed)", errBroken, len(all), late)
	}
	if len(all) == 0 {
		return fmt.Errorf("no target crashed")
	}
	fmt.Printf("%d crashes, %d late\n", len(all), late)
	return nil
}
