package quota

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// startLoad starts n callers with calls of m until ctx ends. Each tries the holders in turn
// and starts the next call when one has ended. One call in ten is long.
func (s *sim) startLoad(ctx context.Context, m ident.MemberID, n int) {
	order := RankOrder(string(m), s.addrs())
	for range n {
		go func() {
			for ctx.Err() == nil {
				at := int(s.randFloat() * float64(len(order)))
				class, timeout := agree.Short, MaxShortTimeout
				if s.randFloat() < 0.1 {
					class, timeout = agree.Long, s.longTimeout
				}
				d := time.Duration(s.randFloat() * s.randFloat() * float64(timeout))
				for i := range order {
					if _, err := s.nodeAt(order[(at+i)%len(order)]).run(m, class, timeout, d); err == nil {
						break
					}
				}
				time.Sleep(d/2 + 20*time.Millisecond)
			}
		}()
	}
}

// measureUsable returns how many calls of m can run at once when all demand arrives at one
// entry daemon.
func (s *sim) measureUsable(m ident.MemberID) ident.Units {
	time.Sleep(10 * time.Second) // let earlier calls end
	s.runMu.Lock()
	s.peak[m] = s.running[m]
	s.runMu.Unlock()
	order := RankOrder(string(m), s.addrs())
	for range 5 {
		for range int(s.maxRunning[m]) + 10 {
			go func() {
				for _, addr := range order {
					if _, err := s.nodeAt(addr).run(m, agree.Short, 2*time.Second, 2*time.Second); err == nil {
						return
					}
				}
			}()
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.measured = s.describe(m)
	time.Sleep(3 * time.Second)
	s.runMu.Lock()
	defer s.runMu.Unlock()
	return s.peak[m]
}

// setDropRequest sets the function that decides whether requests of a type are lost.
func (s *sim) setDropRequest(f func(wire.Type) bool) {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	s.dropRequest = f
}

func (s *sim) dropped(t wire.Type) bool {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	return s.dropRequest != nil && s.dropRequest(t)
}

// keeperNode returns the node of the elected keeper.
func (s *sim) keeperNode() *node {
	for _, n := range s.nodes {
		if p := n.process.Load(); !p.dead() && p.keeper.Elected() {
			return n
		}
	}
	return nil
}

// nonKeeperNode returns a node that is not the keeper's.
func (s *sim) nonKeeperNode() *node {
	for _, n := range s.nodes {
		if n != s.keeperNode() {
			return n
		}
	}
	return nil
}

// addNode starts a daemon on a new VM.
func (s *sim) addNode(addr ident.Addr) *node {
	n := &node{s: s, addr: addr}
	s.nodesMu.Lock()
	s.nodes = append(s.nodes, n)
	s.nodesMu.Unlock()
	n.start()
	return n
}
