package mesh

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestCallsEndAtTheirDeadline guards against calls that wait without end, wherever they wait, while a configuration
// removes their route.
func TestCallsEndAtTheirDeadline(t *testing.T) {
	tests := map[string]struct {
		path  string
		local bool // the backend server beside the entry takes calls
		calls int  // a backend server has four slots
	}{
		"safe, running beside the entry":          {"/s/get/", true, 1},
		"unsafe, running beside the entry":        {"/s/buy/", true, 1},
		"safe, running beside another daemon":     {"/s/get/", false, 1},
		"unsafe, running beside another daemon":   {"/s/buy/", false, 1},
		"unsafe, some waiting for a slot":         {"/s/buy/", true, 14},
		"safe, some waiting at the other daemon":  {"/s/get/", false, 10},
		"unsafe, some waiting at another's queue": {"/s/buy/", false, 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, a, b := twoNodes(t)
			if !tt.local {
				a.heartbeat(Draining)
				a.waitForServers(t, "s", 1)
			}
			release := make(chan struct{})
			defer close(release)
			hold := func(w http.ResponseWriter, _ *http.Request) {
				<-release
				w.WriteHeader(http.StatusOK)
			}
			a.backend.set(hold)
			b.backend.set(hold)
			answers := make(chan *Answer, tt.calls)
			var wg sync.WaitGroup
			for range tt.calls {
				wg.Go(func() { answers <- a.call(t.Context(), tt.path) })
			}
			eventually(t, "a call runs", func() bool { return a.backend.total.Load()+b.backend.total.Load() > 0 })
			r.configure(2, "other")
			ended := make(chan struct{})
			go func() {
				wg.Wait()
				close(ended)
			}()
			select {
			case <-ended:
			case <-time.After(8 * time.Second): // the deadline is 1.5 s after the call
				t.Fatalf("%d of %d calls ended", len(answers), tt.calls)
			}
			close(answers)
			unknown := 0
			for ans := range answers {
				is.True(ans.Refusal != nil)
				if ans.Refusal.Ran == refuse.RanUnknown {
					unknown++
				}
			}
			is.True(unknown > 0)
		})
	}
}
