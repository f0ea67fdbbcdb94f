package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
)

// TestCancelledCallHoldsItsUnit guards against releasing the cap unit of a cancelled call
// while the backend server still runs it: more calls than the cap would run.
func TestCancelledCallHoldsItsUnit(t *testing.T) {
	tests := map[string]func(w http.ResponseWriter){
		"before the response": func(http.ResponseWriter) {},
		"within the response": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
		},
	}
	for name, begin := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newRigOn(emul.NewLoopback(), t, 1, nil)
			defer g.close()
			var running atomic.Int32
			started, cancelled, finish := make(chan struct{}), make(chan struct{}), make(chan struct{})
			g.replaceBackend(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				running.Add(1)
				defer running.Add(-1)
				begin(w)
				close(started)
				<-r.Context().Done()
				close(cancelled)
				<-finish
			}))
			ctx, cancel := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://d0/safe", http.NoBody)
			is.NoErr(err)
			req.Header.Set(HeaderMember, "office")
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				if resp, err := g.client.RoundTrip(req); err == nil {
					<-started
					cancel()
					_ = resp.Body.Close()
				}
			}()
			<-started
			cancel()
			<-cancelled // the backend server has seen the cancellation and still runs the call
			is.Equal(g.unitsInUse(), 1)
			close(finish)
			for g.unitsInUse() > 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(running.Load(), int32(0))
			<-sent
		})
	}
}
