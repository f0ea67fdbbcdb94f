package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// simulate runs f in virtual time with a service of n daemons that has had 30 s to settle.
func simulate(t *testing.T, seed int64, n int, f func(s *sim)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSim(ctx, seed, n, 2, 40, 30*time.Second)
		defer time.Sleep(time.Minute) // let calls and daemons end
		defer cancel()
		time.Sleep(30 * time.Second)
		f(s)
	})
}

// surge starts calls at one entry daemon, which tries the holders in rank order, and returns
// how many were admitted.
func (s *sim) surge(m ident.MemberID, calls int, d time.Duration) int {
	order := RankOrder(string(m), s.addrs())
	got := make(chan bool, calls)
	for range calls {
		go func() {
			for _, addr := range order {
				if _, err := s.nodeAt(addr).run(m, agree.Short, min(d, MaxShortTimeout), d); err == nil {
					got <- true
					return
				}
			}
			got <- false
		}()
	}
	n := 0
	for range calls {
		if <-got {
			n++
		}
	}
	return n
}

func TestAllUnitsAreReachedFromOneEntryDaemon(t *testing.T) {
	simulate(t, 1, 8, func(s *sim) {
		is := is.New(t)
		s.surge("office", 100, 3*time.Second)
		s.surge("office", 100, 3*time.Second)
		is.Equal(s.peak["office"], s.caps["office"]) // the whole cap and no more
	})
}
