package quota

import (
	"context"
	"testing"
	"time"
)

// TestJoinedHolderCutOffAtRestore guards against a holder that joined since the copy and uses its base share, which a
// keeper that reads the list from the copy deals to the others.
func TestJoinedHolderCutOffAtRestore(t *testing.T) {
	runFault(t, func(_ *testing.T, s *sim) {
		c := s.store.copy()
		n := s.addNode("vm-new:7000")
		time.Sleep(time.Minute)
		n.island.Store(true)
		s.store.restore(c)
		ctx, cancel := context.WithCancel(s.parentCtx)
		defer cancel()
		s.startLoad(ctx, member, 60)
		time.Sleep(2 * time.Minute)
		n.island.Store(false)
		time.Sleep(time.Minute)
	}, 30, 40)
}
