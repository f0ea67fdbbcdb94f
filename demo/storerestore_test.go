package demo

import (
	"context"
	"testing"
	"time"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// confirmLimit is the time after the return of a restored store within which head is confirmed: the 3 s for which a
// root waits for daemons with newer Versions, and the time until it watches head again.
const confirmLimit = 8 * time.Second

// TestRestoredStoreGetsVersionsBack guards against a store that comes back from a copy without the last Versions and
// accepts other content under their numbers, which the daemons that hold them would ignore.
func TestRestoredStoreGetsVersionsBack(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	tc := startServing(ctx, t, reduceLoad(School()))
	c := tc.store.Copy()
	var last ident.Version
	for units := range ident.Units(2) {
		_, err := tc.applyChange(ctx, func(context.Context) (v ident.Version, err error) {
			last, err = tc.correct("office", "registry", 10+units)
			return last, err
		})
		tc.must(err)
	}
	held := tc.nodes[0].current().Agreement()
	tc.store.SetOutage(emul.Rejecting)
	time.Sleep(time.Second)
	tc.store.Restore(c)
	tc.store.SetOutage(emul.NoOutage)
	start := time.Now()
	if v, err := tc.correct("office", "registry", 20); err == nil && v <= last {
		t.Errorf("a change was accepted as Version %d, daemons hold %d", v, last)
	}
	for tc.headVersion() < last && time.Since(start) < confirmLimit {
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("head at Version %d of %d after %s", tc.headVersion(), last, time.Since(start))
	head, err := tc.acceptor.Head(ctx)
	tc.must(err)
	got, err := tc.acceptor.Load(ctx, head)
	tc.must(err)
	if err == nil && (got.Version() != last || got.Hash() != held.Hash()) {
		t.Errorf("head has Version %d with hash %s, daemons hold %d with %s", got.Version(), got.Hash(), last, held.Hash())
	}
	if _, ok := head.Accepted("office-registry-11"); !ok {
		t.Error("the id of the last change is lost, so that it would be accepted twice")
	}
	took, err := tc.applyChange(ctx, func(context.Context) (ident.Version, error) { return tc.correct("office", "registry", 21) })
	tc.must(err)
	t.Logf("next change in force everywhere after %s", took)
	row, _ := tc.nodes[0].current().Agreement().Row(agree.Row{Kind: agree.KindCap, Member: "office", Service: "registry"}.Key())
	if row.Units != 21 {
		t.Errorf("the cap in force is %d", row.Units)
	}
	for _, b := range tc.versions.regressions() {
		t.Error(b)
	}
	tc.must(tc.Stop())
}

// headVersion returns the Version of head without a call to the store.
func (tc *testCluster) headVersion() ident.Version {
	h, err := accept.DecodeHead(tc.store.Peek(accept.HeadKey))
	tc.must(err)
	return h.Version
}
