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

// TestRestartedDaemonsKnowCrashingRequest guards against a request that crashes backend servers again because the daemons
// beside them were restarted, one after the other, since it was refused.
func TestRestartedDaemonsKnowCrashingRequest(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	tc := startServing(ctx, t, reduceLoad(School()))
	crashes := func() int {
		n := 0
		for _, b := range tc.Backends() {
			n += b.Crashes()
		}
		return n
	}
	for i := range 6 {
		_, _ = tc.call(i, "office", http.MethodPost, "/registry/?crash=before")
		time.Sleep(400 * time.Millisecond)
	}
	before := crashes()
	for i, n := range tc.nodes {
		if n.service != "registry" {
			continue
		}
		tc.Kill(i)
		tc.must(tc.Restart(i))
		tc.must(tc.waitReady(ctx))
		time.Sleep(300 * time.Millisecond)
	}
	for i := range 8 {
		_, _ = tc.call(i, "office", http.MethodPost, "/registry/?crash=before")
		time.Sleep(200 * time.Millisecond)
	}
	t.Logf("%d crashes before the restarts, %d after", before, crashes()-before)
	if n := crashes(); n > before {
		t.Errorf("%d backend servers crashed after the restarts of the daemons, want none", n-before)
	}
	tc.must(tc.Stop())
}
