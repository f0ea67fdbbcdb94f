package proxy

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
)

// chainRig has one daemon whose backend server calls itself through it. Each request that
// reaches the backend server is passed to seen.
func chainRig(t *testing.T, seen func(*http.Request)) *rig {
	g := newRig(t, 1, func(c *emul.BackendConfig) { c.Slots = 20 })
	g.replaceBackend(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen(r)
		g.backends[0].ServeHTTP(w, r)
	}))
	return g
}

// TestChainOf13 guards against losing depth, deadline or answer in a chain of 13 calls, the
// deepest one in use.
func TestChainOf13(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var depths []string
		limits := map[string]bool{}
		g := chainRig(t, func(r *http.Request) {
			depths = append(depths, r.Header.Get(retry.HeaderDepth))
			limits[r.Header.Get(retry.HeaderDeadline)] = true
		})
		defer g.close()
		got := g.call(t.Context(), http.MethodGet, "/chain/12?time=1ms", "r", nil)
		is.Equal(got.body, "r\n")
		is.Equal(g.runs("r"), 13)
		is.Equal(depths[0], "1")
		is.Equal(depths[12], "13")
		is.Equal(len(limits), 1) // no hop extends the deadline of the first
	})
}

// TestLoopEnds guards against a loop of calls that takes all slots.
func TestLoopEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := chainRig(t, func(*http.Request) {})
		defer g.close()
		got := g.call(t.Context(), http.MethodGet, "/chain/1000000", "r", nil)
		is.Equal(got.status, refuse.TooDeep.Status())
		is.Equal(got.reason, refuse.Reason("")) // a nested refusal is an answer of this call
		is.Equal(g.runs("r"), retry.MaxDepth)
		is.Equal(g.unitsInUse(), 0)
	})
}

// TestRetriedHeaderReachesTheNextHop guards against retries that multiply along a chain.
func TestRetriedHeaderReachesTheNextHop(t *testing.T) {
	tests := map[string]struct {
		header []string
		want   string
	}{
		"first call":             {nil, ""},
		"chain that has retried": {[]string{retry.HeaderRetried, "1"}, "1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var got string
				g := chainRig(t, func(r *http.Request) { got = r.Header.Get(retry.HeaderRetried) })
				defer g.close()
				g.call(t.Context(), http.MethodGet, "/chain/1", "r", nil, tt.header...)
				is.Equal(got, tt.want)
			})
		})
	}
}
