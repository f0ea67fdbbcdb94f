package quota

import (
	"context"
	"testing"
	"time"
)

// TestJoinedHolderCutOffAtRestore guards against a holder that joined since the copy and uses its base share, which a
// keeper that reads the list from the copy deals to the others.
func TestJoinedHolderCutOffAtRestore(t *testing.T) {
	tests := map[string]func(s *sim, c storeCopy){
		"keeper goes on": func(s *sim, c storeCopy) { s.store.restore(c) },
		"keeper is a new process": func(s *sim, c storeCopy) {
			k := s.keeperNode()
			k.kill()
			// The new process is elected within 1 s, before the others look for a keeper.
			s.setRank(func() int { return 0 })
			for key := range c.leases {
				delete(c.values, key)
			}
			s.store.restore(c)
			k.start()
		},
	}
	for name, restore := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFault(t, func(_ *testing.T, s *sim) {
				c := s.store.copy()
				n := s.addNode("vm-new:7000")
				time.Sleep(time.Minute)
				n.island.Store(true)
				restore(s, c)
				ctx, cancel := context.WithCancel(s.parentCtx)
				defer cancel()
				s.startLoad(ctx, member, 120)
				time.Sleep(2 * time.Minute)
				n.island.Store(false)
				time.Sleep(time.Minute)
			}, 30, 40)
		})
	}
}
