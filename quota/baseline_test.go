package quota

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// acquireFunc admits a short call of m at n and returns its release function, or nil. Each
// scheme to be compared implements it.
type acquireFunc func(n *node, m ident.MemberID) func()

// keeperAndHolders is the scheme that this package implements.
func keeperAndHolders(n *node, m ident.MemberID) func() {
	p := n.process.Load()
	release, err := p.holder.Acquire(p.ctx, Request{Member: m, Class: agree.Short, Deadline: n.wall().Add(MaxShortTimeout)})
	if err != nil {
		return nil
	}
	return release
}

// staticSplit divides the whole cap evenly among the holders.
func staticSplit(s *sim) acquireFunc {
	var mu sync.Mutex
	used := map[ident.Addr]ident.Units{}
	addrs := s.addrs()
	return func(n *node, m ident.MemberID) func() {
		mu.Lock()
		defer mu.Unlock()
		if used[n.addr] >= BaseShare(s.caps[m], len(addrs), rendezvousRank(string(m), addrs, n.addr)) {
			return nil
		}
		used[n.addr]++
		return func() {
			mu.Lock()
			defer mu.Unlock()
			used[n.addr]--
		}
	}
}

// unitPerCall asks the keeper at the first node for a unit for each call and returns it
// afterwards. keeperLost reports whether the keeper is lost.
func unitPerCall(s *sim, keeperLost func() bool) acquireFunc {
	var mu sync.Mutex
	used := ident.Units(0)
	ask := func(n *node) bool {
		delay := 500 * time.Microsecond
		if n.region != s.nodes[0].region {
			delay = 20 * time.Millisecond
		}
		body, _ := wire.Encode(Use{Member: member, Want: 1})
		s.runMu.Lock()
		s.sent += 2
		s.bytes += int64(2 * len(body))
		s.runMu.Unlock()
		time.Sleep(2 * delay)
		return !keeperLost()
	}
	return func(n *node, m ident.MemberID) func() {
		if !ask(n) {
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		if used >= s.caps[m] {
			return nil
		}
		used++
		return func() {
			go func() {
				ask(n)
				mu.Lock()
				defer mu.Unlock()
				used--
			}()
		}
	}
}
