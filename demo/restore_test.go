package demo

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// TestDaemonsKeepTheirVersionUnderADamagedHead guards against daemons that stop serving or
// return to an older Version when the head in the store is damaged, that cannot start then, that
// poll the store without a pause, or that do not apply the restored Version. The damages are applied
// to one cluster in turn.
func TestDaemonsKeepTheirVersionUnderADamagedHead(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	tc := startServing(ctx, t, reduceLoad(School()))
	for _, step := range []struct {
		name   string
		damage func(tc *testCluster, old map[string]bool)
	}{
		{"head removed", func(tc *testCluster, _ map[string]bool) { tc.must(tc.store.Driver().Delete(tc.ctx, accept.HeadKey, 0)) }},
		{"head truncated", func(tc *testCluster, _ map[string]bool) {
			d := tc.store.Driver()
			v, err := d.Get(tc.ctx, accept.HeadKey)
			tc.must(err)
			_, err = d.Swap(tc.ctx, accept.HeadKey, v.Revision, v.Data[:len(v.Data)/2], 0)
			tc.must(err)
		}},
		{"chunks removed", func(tc *testCluster, old map[string]bool) {
			for _, key := range tc.store.Keys("chunk/") {
				if !old[key] {
					tc.must(tc.store.Driver().Delete(tc.ctx, key, 0))
				}
			}
		}},
	} {
		old := map[string]bool{}
		for _, key := range tc.store.Keys("chunk/") {
			old[key] = true
		}
		_, err := tc.applyChange(ctx, func(context.Context) (ident.Version, error) {
			return tc.correct("office", "registry", ident.Units(10+len(old)))
		})
		tc.must(err)
		step.damage(tc, old)
		if step.name == "head removed" {
			tc.restartFromPeers(3)
		}
		tc.checkServing(step.name)
		tc.restoreNewest(step.name)
	}
	for _, b := range tc.versions.regressions() {
		t.Error(b)
	}
	tc.must(tc.Stop())
}

// restartFromPeers kills and restarts a daemon, which then gets the agreement from its peers.
func (tc *testCluster) restartFromPeers(i int) {
	before := tc.nodes[0].current().Version()
	tc.Kill(i)
	tc.must(tc.Restart(i))
	_, err := tc.WaitVersion(tc.ctx, before)
	tc.must(err)
	tc.must(tc.waitReady(tc.ctx))
	if status, ref := tc.call(i, "office", http.MethodGet, "/registry/1"); status != http.StatusOK {
		tc.t.Errorf("status %d, %v", status, ref)
	}
}

// checkServing checks that the daemons serve their Version and read the store at a bounded rate.
func (tc *testCluster) checkServing(damage string) {
	const watched = 2 * time.Second
	before := tc.nodes[0].current().Version()
	calls := tc.store.Counts()
	time.Sleep(watched)
	for kind, n := range tc.store.Counts() {
		// Without a pause the root alone would make 20 watches a second, its whole call budget.
		if n -= calls[kind]; n > 10*int64(watched/time.Second) {
			tc.t.Errorf("%s: %d calls of %s in %s", damage, n, kind, watched)
		}
	}
	for i, n := range tc.nodes {
		if v := n.current().Version(); v != before {
			tc.t.Errorf("%s: daemon %d serves Version %d, served %d", damage, i, v, before)
		}
	}
	if status, ref := tc.call(0, "office", http.MethodGet, "/registry/1"); status != http.StatusOK {
		tc.t.Errorf("%s: status %d, %v", damage, status, ref)
	}
}

// restoreNewest restores the newest intact Version and waits until it is in force everywhere.
func (tc *testCluster) restoreNewest(damage string) {
	served := tc.nodes[0].current().Version()
	plan, err := tc.acceptor.PlanRestore(tc.ctx, 0, served)
	tc.must(err)
	res, err := tc.acceptor.Propose(tc.ctx, accept.Proposal{
		ID: ident.ChangeID(fmt.Sprint("repair of ", damage)), Author: "test", Kind: accept.KindRestore,
		Base: plan.Base, Served: served,
	})
	tc.must(err)
	if res.Version <= served {
		tc.t.Errorf("%s: Version %d does not replace %d", damage, res.Version, served)
	}
	took, err := tc.WaitVersion(tc.ctx, res.Version)
	tc.must(err)
	tc.t.Logf("%s: Version %d as %d in force everywhere after %s", damage, res.Restored, res.Version, took)
}
