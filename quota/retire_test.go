package quota

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// TestRetireOutlivesKeeper guards against a removal that an operator was told to be done and that is lost with the
// keeper, so that the units of the lost VM stay reserved for four hours.
func TestRetireOutlivesKeeper(t *testing.T) {
	simulate(t, 7, 8, func(s *sim) {
		is := is.New(t)
		lost := s.nonKeeperNode()
		lost.kill()
		time.Sleep(time.Minute)
		n := s.keeperNode()
		is.NoErr(n.process.Load().keeper.handleRetire(s.parentCtx, Retire{Service: testService, Addr: lost.addr}))
		n.kill() // right after the answer
		time.Sleep(time.Second)
		n.start()
		time.Sleep(time.Minute)
		is.True(!slices.Contains(s.keeperNode().holders(), lost.addr))
	})
}

// TestRetireNeedsStore guards against a removal that is answered as done although the store has not taken it.
func TestRetireNeedsStore(t *testing.T) {
	simulate(t, 7, 8, func(s *sim) {
		is := is.New(t)
		lost := s.nonKeeperNode()
		lost.kill()
		time.Sleep(10 * time.Second)
		s.store.setDown(true)
		began := time.Now()
		err := s.keeperNode().process.Load().keeper.handleRetire(s.parentCtx, Retire{Service: testService, Addr: lost.addr})
		is.True(err != nil)
		is.True(time.Since(began) <= 2*time.Second) // the operator's daemon waits no longer
		s.store.setDown(false)
		time.Sleep(time.Minute)
		is.True(!slices.Contains(s.keeperNode().holders(), lost.addr)) // done later
	})
}

// holders returns the listed holders as the keeper at n has them.
func (n *node) holders() []ident.Addr {
	k := n.process.Load().keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.term.rec.Holders)
}
