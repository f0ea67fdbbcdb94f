package quota

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// reuseLease grants leases until the store has given out id again.
func (s *fakeStore) reuseLease(t *testing.T, n *node, id LeaseID) {
	t.Helper()
	is := is.New(t)
	for {
		got, err := s.driver(n).Grant(t.Context(), KeeperLeaseTTL)
		is.NoErr(err)
		is.True(got <= id) // otherwise the store has passed it
		if got == id {
			return
		}
	}
}

func (k *Keeper) sinceRenewal() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.d.Clock.Since(k.term.renewed)
}

func (k *Keeper) leaseID() LeaseID {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.term.lease
}

// Each case brings the store back from a copy under load. No more calls may run than the cap at any time, although
// terms, lists and leases since the copy are lost; afterwards all units are usable.
func TestStoreRestored(t *testing.T) {
	// moveKeeper makes another daemon keeper and restarts the one before.
	moveKeeper := func(s *sim) (before *node) {
		before = s.keeperNode()
		before.kill()
		time.Sleep(30 * time.Second)
		return before
	}
	tests := map[string]func(t *testing.T, s *sim){
		"keeper is in the copy": func(_ *testing.T, s *sim) {
			c := s.store.copy()
			time.Sleep(10 * time.Second)
			s.store.restore(c)
			time.Sleep(time.Minute)
		},
		"keeper was elected since the copy": func(_ *testing.T, s *sim) {
			c := s.store.copy()
			n := moveKeeper(s)
			s.store.restore(c)
			n.start()
			time.Sleep(time.Minute)
		},
		"keeper was elected since a copy without its predecessor": func(_ *testing.T, s *sim) {
			n := s.keeperNode()
			n.kill()
			c := s.store.copy()
			time.Sleep(30 * time.Second)
			for key := range c.leases { // as if the lease had ended in the copy
				delete(c.values, key)
			}
			s.store.restore(c)
			n.start()
			s.addNode("vm-new:7000")
			ctx, cancel := context.WithCancel(s.parentCtx)
			defer cancel()
			s.startLoad(ctx, member, 30)
			time.Sleep(time.Minute)
		},
		"lease of the keeper is given out again": func(t *testing.T, s *sim) {
			c := s.store.copy()
			moveKeeper(s)
			k := s.keeperNode()
			s.store.restore(c)
			s.store.reuseLease(t, k, k.process.Load().keeper.leaseID())
			time.Sleep(KeeperLeaseTTL) // the key in the copy is gone
			s.addNode("vm-new:7000")
			ctx, cancel := context.WithCancel(s.parentCtx)
			defer cancel()
			s.startLoad(ctx, member, 30)
			time.Sleep(2 * time.Minute)
		},
		"keeper since the copy goes on without the store": func(_ *testing.T, s *sim) {
			c := s.store.copy()
			moveKeeper(s).start()
			time.Sleep(20 * time.Second)
			for key := range c.leases {
				delete(c.values, key)
			}
			k := s.keeperNode()
			for k.process.Load().keeper.sinceRenewal() > 200*time.Millisecond {
				time.Sleep(100 * time.Millisecond)
			}
			s.nonKeeperNode().island.Store(true)
			k.island.Store(true)
			s.store.restore(c)
			s.addNode("vm-new:7000") // learns at once that there is no keeper
			ctx, cancel := context.WithCancel(s.parentCtx)
			defer cancel()
			s.startLoad(ctx, member, 60)
			time.Sleep(time.Minute)
			for _, n := range s.nodes {
				n.island.Store(false)
			}
			time.Sleep(time.Minute)
		},
		"holders joined since the copy": func(_ *testing.T, s *sim) {
			c := s.store.copy()
			s.addNode("vm-new1:7000")
			s.addNode("vm-new2:7000")
			time.Sleep(time.Minute)
			s.store.restore(c)
			time.Sleep(2 * time.Minute)
		},
		"holder was retired since the copy": func(t *testing.T, s *sim) {
			n := s.nonKeeperNode()
			n.kill()
			time.Sleep(time.Minute)
			c := s.store.copy()
			if err := s.keeperNode().process.Load().keeper.handleRetire(s.parentCtx, Retire{Service: testService, Addr: n.addr}); err != nil {
				t.Error(err)
			}
			time.Sleep(30 * time.Second)
			s.store.restore(c)
			time.Sleep(2 * time.Minute)
		},
		"all daemons restart with the store": func(_ *testing.T, s *sim) {
			c := s.store.copy()
			s.addNode("vm-new1:7000")
			time.Sleep(time.Minute)
			for _, n := range s.nodes {
				n.kill()
			}
			s.store.restore(c)
			for _, n := range s.nodes {
				n.start()
			}
			time.Sleep(2 * time.Minute)
		},
	}
	for name, restore := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFault(t, restore, 30, 40)
		})
	}
}
