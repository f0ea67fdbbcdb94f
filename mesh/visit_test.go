package mesh

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/route"
)

// TestObservation guards against skipping a server because a caller disconnected while queued there, or
// because the server refused a request that crashes servers.
func TestObservation(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	full := route.Report{Running: 1, Slots: 1}
	tests := map[string]struct {
		ctx  context.Context
		r    result
		want route.Result
	}{
		"caller left, queue":      {ended, result{reply: &reply{Outcome: rejected, Reason: refuse.Cancelled}}, route.Result{}},
		"caller left, running":    {ended, result{reply: &reply{Outcome: lost}}, route.Result{}},
		"caller left, link":       {ended, result{err: errors.New("cancelled")}, route.Result{}},
		"answered as caller left": {ended, result{reply: &reply{Outcome: answered, Status: 200}, took: 1}, route.Result{Took: 1}},
		"crashing request":        {t.Context(), result{reply: &reply{Outcome: rejected, Reason: refuse.Poisoned}}, route.Result{}},
		"draining":                {t.Context(), result{reply: &reply{Outcome: rejected, Reason: refuse.Draining}}, route.Result{Unreachable: true}},
		"busy": {
			t.Context(),
			result{reply: &reply{Outcome: rejected, Wait: time.Second, Report: full}},
			route.Result{Report: full, Known: true},
		},
		"unreachable": {t.Context(), result{err: errors.New("refused")}, route.Result{Unreachable: true, Failed: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.r.observation(tt.ctx), tt.want)
		})
	}
}
