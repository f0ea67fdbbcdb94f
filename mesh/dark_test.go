package mesh

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// askAll has all daemons but the one at target send it a call at the same time, and returns how many calls were
// answered and how many may have run there.
func askAll(f *syncFleet, target ident.Addr) (answered, unknown int) {
	type result struct {
		reply *reply
		err   error
	}
	results := make(chan result, len(f.nodes))
	asked := 0
	for _, n := range f.nodes {
		if n.addr == target {
			continue
		}
		asked++
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
			defer cancel()
			r, err := n.send(ctx, target, &request{ID: "r", Service: "other", Idempotent: true, TimeLeft: 600 * time.Millisecond}, nil)
			results <- result{r, err}
		}()
	}
	for range asked {
		switch r := <-results; {
		case r.err == nil:
			answered++
		case mayHaveRun(r.err):
			unknown++
		}
	}
	return answered, unknown
}

// TestDarkMachine guards against calls of all entries that are lost on a VM without power. Each entry found out by
// itself, after 0.9 s of silence on its own link, and its calls until then ended as unknown.
func TestDarkMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSyncFleet(t, 4, 12)
		f.startAll()
		dark := f.nodes[3]
		answered, unknown := askAll(f, dark.addr)
		is.Equal(answered, len(f.nodes)-1)
		is.Equal(unknown, 0)
		f.net.Pause(dark.addr, true)
		time.Sleep(700 * time.Millisecond) // before links count as silent
		began := time.Now()
		answered, unknown = askAll(f, dark.addr)
		is.Equal(answered, 0)
		is.Equal(unknown, 0)
		is.True(time.Since(began) < 250*time.Millisecond) // soon enough for another server
		f.net.Pause(dark.addr, false)
		time.Sleep(time.Second)
		answered, _ = askAll(f, dark.addr)
		is.Equal(answered, len(f.nodes)-1)
		f.stopAll()
	})
}
