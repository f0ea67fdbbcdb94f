package demo

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/marjoramcroft/marjoramcroft/admin"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestDaemonsExposeDataForTheReport guards against daemons that do not expose when a Version came
// into force, or do not count the cap that refused a call.
func TestDaemonsExposeDataForTheReport(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	tc := startServing(ctx, t, reduceLoad(School()))
	began := time.Now()
	_, err := tc.applyChange(tc.ctx, func(context.Context) (ident.Version, error) { return tc.correct("office", "registry", 2) })
	tc.must(err)
	for i, n := range tc.nodes {
		if since := n.current().Status().Since; since.Before(began) || since.After(time.Now()) {
			t.Errorf("daemon %d: in force since %s, changed after %s", i, since, began)
		}
	}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			status, ref := tc.call(i%len(tc.nodes), "office", http.MethodGet, "/registry/1?time=500ms")
			if status != http.StatusOK && (ref == nil || ref.Ran != refuse.RanNo) {
				t.Errorf("status %d, %v", status, ref)
			}
		})
	}
	wg.Wait()
	reached := int64(0)
	for _, n := range tc.nodes {
		reached += n.stats.Value(admin.CapReachedPrefix + "cap/office/registry")
	}
	if reached == 0 {
		t.Error("no daemon counted a refusal of cap/office/registry")
	}
	tc.must(tc.Stop())
}
