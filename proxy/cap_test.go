package proxy

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestChooseReceivesCap guards against choosing servers for further attempts without the size
// of the cap, or without knowing that the cap was the reason of the refusal.
func TestChooseReceivesCap(t *testing.T) {
	tests := map[string]struct {
		reason refuse.Reason
		capped bool
	}{
		"cap reached":          {refuse.CapReached, true},
		"units not usable yet": {refuse.CapUnavailable, true},
		"queue full":           {refuse.QueueFull, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 2, nil)
				defer g.close()
				var asked []RouteRequest
				g.entry.d.Choose = func(r RouteRequest) (Pick, error) {
					asked = append(asked, r)
					return g.choose(r)
				}
				g.targets[0].d.Acquire = func(context.Context, QuotaRequest) (func(), error) {
					return nil, refuse.NotRun(tt.reason, "")
				}
				is.Equal(g.call(t.Context(), http.MethodPost, "/", "r", nil).status, http.StatusOK)
				is.Equal(len(asked), 2)
				is.Equal(asked[0].Cap, ident.Units(9)) // as in the agreement
				is.Equal(asked[0].Capped, false)
				is.Equal(asked[1].Capped, tt.capped)
			})
		})
	}
}
