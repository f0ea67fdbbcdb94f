package demo

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestCrashingRequestIsRefusedWhenServersRestartAtOnce guards against a request that crashes
// every backend server that runs it and is never refused, because each server restarts before
// its daemon notices that the address refuses connections.
func TestCrashingRequestIsRefusedWhenServersRestartAtOnce(t *testing.T) {
	dep := reduceLoad(School())
	dep.Restart = time.Nanosecond
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	tc := startServing(ctx, t, dep)
	for i := range 8 {
		_, _ = tc.call(i, "office", http.MethodPost, "/registry/?crash=before")
		time.Sleep(200 * time.Millisecond)
	}
	servers, crashes := 0, 0
	for _, b := range tc.Backends() {
		if n := b.Crashes(); n > 0 {
			servers, crashes = servers+1, crashes+n
		}
	}
	t.Logf("%d crashes of %d backend servers", crashes, servers)
	if servers != 2 {
		t.Errorf("%d backend servers crashed, want the request refused after 2", servers)
	}
	tc.must(tc.Stop())
}
