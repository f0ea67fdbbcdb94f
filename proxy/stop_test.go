package proxy

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestStopAnswersCallers guards against a stop that cuts the calls which run or wait when its time limit is over: their
// callers would get no answer, and calls that have not run would count as lost.
func TestStopAnswersCallers(t *testing.T) {
	tests := map[string]struct {
		method string
		key    string
		target bool // the target stops rather than the entry
		queued bool // the call waits for a unit of its cap
		reason refuse.Reason
		ran    refuse.Ran
	}{
		"entry, idempotent":     {method: http.MethodGet, reason: refuse.Draining, ran: refuse.RanUnknown},
		"entry, not idempotent": {method: http.MethodPost, reason: refuse.AnswerLost, ran: refuse.RanUnknown},
		"entry, keyed":          {method: http.MethodPost, key: "k", reason: refuse.AnswerLost, ran: refuse.RanUnknown},
		"target, running":       {method: http.MethodPost, target: true, reason: refuse.AnswerLost, ran: refuse.RanUnknown},
		"target, queued":        {method: http.MethodPost, target: true, queued: true, reason: refuse.Draining, ran: refuse.RanNo},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				g.entry.d.Retry.Next = nil
				g.replaceBackend(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
				if tt.queued {
					g.targets[0].d.Acquire = func(ctx context.Context, _ QuotaRequest) (func(), error) {
						<-ctx.Done()
						return nil, refuse.NotRun(refuse.Cancelled, "")
					}
				}
				var header []string
				if tt.key != "" {
					header = []string{HeaderKey, tt.key}
				}
				answer := make(chan reply, 1)
				go func() { answer <- g.call(t.Context(), tt.method, "/long", "r", nil, header...) }()
				time.Sleep(time.Second)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				stop, server := g.entry.Stop, g.servers[0]
				if tt.target {
					stop, server = g.targets[0].Stop, g.servers[1]
				}
				is.True(stop(ctx) != nil)
				synctest.Wait()
				_ = server.Close() // as at the end of the process
				got := <-answer
				is.NoErr(got.err)
				is.Equal(got.reason, tt.reason)
				is.Equal(got.ran, tt.ran)
				is.Equal(g.unitsInUse(), 0)
			})
		})
	}
}
