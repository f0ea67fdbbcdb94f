package demo

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
)

// startServing starts a cluster of dep and waits until an agreement is in force and calls are
// served.
func startServing(ctx context.Context, t *testing.T, dep Deployment) *testCluster {
	t.Helper()
	c, err := Start(dep, 1, event.Discard())
	if err != nil {
		t.Fatal(err)
	}
	tc := &testCluster{Cluster: c, ctx: ctx, t: t}
	_, err = c.applyChange(tc.ctx, c.Upload)
	tc.must(err)
	tc.must(c.waitReady(tc.ctx))
	return tc
}

// TestLeaveWaitsForCallsInFlight guards against a graceful stop that ends the process before the
// calls through it have ended.
func TestLeaveWaitsForCallsInFlight(t *testing.T) {
	tc := startServing(t.Context(), t, reduceLoad(School()))
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			if status, ref := tc.call(0, "office", http.MethodGet, "/registry/1?time=2s"); status != http.StatusOK {
				t.Errorf("status %d, %v", status, ref)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	tc.must(tc.Leave(0))
	wg.Wait()
	tc.must(tc.Stop())
}

// TestLeaveEndsConnectionsWithAnAnswer guards against connections of callers that stay open
// until the daemon exits and break a request that is sent at that moment.
func TestLeaveEndsConnectionsWithAnAnswer(t *testing.T) {
	tc := startServing(t.Context(), t, reduceLoad(School()))
	var wg sync.WaitGroup
	wg.Go(func() { tc.must(tc.Leave(0)) })
	var resp response
	for resp = tc.send(0, "office", http.MethodGet, "/registry/1"); resp.status == http.StatusOK && !resp.closing; {
		resp = tc.send(0, "office", http.MethodGet, "/registry/1")
	}
	if resp.status != http.StatusOK || !resp.closing {
		t.Errorf("status %d, %v; want a response that closes the connection before the first refusal", resp.status, resp.refusal)
	}
	wg.Wait()
	tc.must(tc.Stop())
}
