package mesh

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestCallWithinMemory guards against a daemon that is killed at its memory limit by the requests of other daemons, and
// against a refused one that runs.
func TestCallWithinMemory(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	a, b := c.add(ident.Place{Region: "r", DataCentre: "a"}, "none"), c.add(ident.Place{Region: "r", DataCentre: "a"}, "s")
	c.configure(1, "s")
	b.heartbeat(Ready)
	a.waitForServers(t, "s", 1)
	eventually(t, "a call is answered", func() bool { return a.call(t.Context(), "/s/buy/").Status == http.StatusOK })
	ran := b.backend.total.Load()
	b.requests.Add(DefaultConfig().RequestMemory)
	got := a.call(t.Context(), "/s/buy/")
	is.True(got.Refusal != nil)
	is.Equal(got.Refusal.Reason, refuse.MemoryFull)
	is.Equal(got.Refusal.Ran, refuse.RanNo)
	is.True(got.RetryAfter >= memoryRetry)
	is.Equal(b.backend.total.Load(), ran)
	b.requests.Add(-DefaultConfig().RequestMemory)
	eventually(t, "a call is answered again", func() bool { return a.call(t.Context(), "/s/buy/").Status == http.StatusOK })
}
