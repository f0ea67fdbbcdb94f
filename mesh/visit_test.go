package mesh

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/route"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/table"
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

// TestSilenceAfterResult guards against a server that counts as silent after its attempt has ended, as both are seen when
// this daemon has been stopped for a while: a further attempt then ran beside one that was not silent, or none was made.
func TestSilenceAfterResult(t *testing.T) {
	is := is.New(t)
	n := New(Deps{Config: DefaultConfig(), Log: event.Discard(), Stats: stats.New(), Random: func() float64 { return 0 }})
	n.retries = retry.NewSharedBudget(retry.SharedBudgetLimits{Ratio: 1, Slack: 100, Window: time.Second}, func() int { return 1 }, time.Now)
	p := &pendingCall{
		n: n, c: &Call{}, service: "s", route: &table.WeightedRoute{Route: table.Route{ID: "r", Idempotent: true, Attempts: 3}},
		excluded: map[ident.Addr]bool{}, running: map[int]bool{1: false},
	}
	_, again := p.handleResult(t.Context(), result{
		attempt: 1, server: "a", reply: &reply{Outcome: rejected, Reason: refuse.Draining}, need: route.Requirements{MaxWait: 1},
	})
	is.True(again)
	p.running[2] = false // at another server
	is.True(!p.handleSilence(t.Context(), result{attempt: 1, server: "a", silent: true}))
	is.Equal(p.silentAttempts(), 0)
	is.True(p.handleSilence(t.Context(), result{attempt: 2, server: "b", silent: true}))
	is.True(p.onlySilent())
}
