package demo

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// startIdle starts a cluster without an agreement.
func startIdle(t *testing.T) *Cluster {
	t.Helper()
	c, err := Start(reduceLoad(School()), 1, event.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Stop(); err != nil {
			t.Error(err)
		}
	})
	return c
}

// TestClusterListensOnItsOwnHost guards against requests of other processes that reach a test cluster. On a
// shared address a port of the cluster may have been used shortly before by a server to which other tests
// and soaks still send, and the check of the caps counts their requests.
func TestClusterListensOnItsOwnHost(t *testing.T) {
	is := is.New(t)
	for _, n := range startIdle(t).nodes {
		for _, a := range []ident.Addr{n.current().HTTP(), n.current().Control(), n.backend.Addr()} {
			host, _, err := net.SplitHostPort(string(a))
			is.NoErr(err)
			is.Equal(host, emul.LoopbackHost())
		}
	}
}

// TestCallsPastTheDaemonsAreCounted guards against a check of the caps that overlooks calls that run without a
// member.
func TestCallsPastTheDaemonsAreCounted(t *testing.T) {
	is := is.New(t)
	c := startIdle(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+string(c.nodes[1].backend.Addr())+"/", http.NoBody)
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(c.usage.exceeded(), []string{"cap//registry: 1 calls ran at once, cap 0"})
}
