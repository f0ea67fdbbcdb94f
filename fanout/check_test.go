package fanout_test

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// checker reports an error if an address serves a lower Version than before, or a state whose
// content differs from the accepted one.
type checker struct {
	errorf func(format string, args ...any) // testing.T.Errorf, or the collector of the property tests
	fleet  *emul.Fleet

	mu       sync.Mutex
	highest  map[ident.Addr]ident.Version
	accepted map[ident.Version]*agree.Agreement
	last     ident.Version
}

func newChecker(errorf func(format string, args ...any), fleet *emul.Fleet) *checker {
	c := &checker{
		errorf: errorf, fleet: fleet, highest: map[ident.Addr]ident.Version{}, accepted: map[ident.Version]*agree.Agreement{},
	}
	fleet.Served = c.served
	return c
}

func (c *checker) accept() ident.Version {
	c.mu.Lock()
	c.last++
	a, err := newAgreement(c.last, ident.Units(c.last))
	if err != nil {
		c.errorf("version %d: %v", c.last, err)
	}
	c.accepted[c.last] = a
	c.mu.Unlock()
	c.fleet.Platform.Accept(a)
	return a.Version()
}

func (c *checker) served(addr ident.Addr, _, cur *agree.Agreement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := cur.Version()
	if v <= c.highest[addr] && v != c.highest[addr] {
		c.errorf("%s serves version %d after %d", addr, v, c.highest[addr])
	}
	c.highest[addr] = max(v, c.highest[addr])
	a, ok := c.accepted[v]
	if !ok || a.Hash() != cur.Hash() || a.Len() != cur.Len() {
		c.errorf("%s serves version %d with content that was not accepted", addr, v)
	}
	for _, r := range cur.Rows() {
		if r.Kind == agree.KindRoute && cur.Cap(r.Member, r.Service) == 0 {
			c.errorf("%s: route %s refers to a cap that version %d does not have", addr, r.Route, v)
		}
	}
}

// waitServed waits until all running daemons selected by f serve v. It reports an error if that
// takes longer than limit, and returns the time taken.
func (c *checker) waitServed(limit time.Duration, v ident.Version, what string, f func(d *emul.Daemon) bool) time.Duration {
	begin := time.Now()
	for {
		var behind []ident.Addr
		for _, d := range c.fleet.Daemons() {
			if d.Running() && f(d) && d.Version() != v {
				behind = append(behind, d.Addr)
			}
		}
		took := time.Since(begin)
		if len(behind) == 0 {
			return took
		}
		if took > limit {
			c.errorf("%s: %d daemons below version %d after %s, such as %s (version %d)",
				what, len(behind), v, limit, behind[0], c.fleet.Daemon(behind[0]).Version())
			return took
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func allDaemons(*emul.Daemon) bool { return true }
