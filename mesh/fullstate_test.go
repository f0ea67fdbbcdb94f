package mesh

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRootKnownAfterFullState guards against a daemon that others forget for good although its entry is in the store:
// the full state that it sent listed itself without the position of its entry, so that receivers took the entry for
// removed and passed that on.
func TestRootKnownAfterFullState(t *testing.T) {
	tests := map[string]func(f *syncFleet){
		"start":          func(*syncFleet) {},
		"store restored": func(f *syncFleet) { f.restore(f.store.Copy(), nil) },
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newSyncFleet(t, 4, 6)
				f.startAll()
				defer f.stopAll()
				run(f)
				time.Sleep(time.Minute)
				f.requireEntries()
				for _, n := range f.nodes {
					f.requireKnown(n, true)
				}
			})
		})
	}
}
