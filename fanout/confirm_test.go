package fanout_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Guards against Versions that daemons hold but nobody writes again after the store came back from a copy, and against
// a root that confirms an older Version than a daemon of its region holds.
func TestRestoredStoreIsConfirmed(t *testing.T) {
	const storeRegion = ident.Region("riga")
	inStoreRegion := func(f *emul.Fleet) []*emul.Daemon {
		return pick(f, func(d *emul.Daemon) bool { return d.Place.Region == storeRegion })
	}
	tests := map[string]struct {
		before func(f *emul.Fleet) (after func()) // after Version 3 is in force; after runs when the store is back at Version 1
		within time.Duration                      // of the return
	}{
		"root goes on":   {func(*emul.Fleet) func() { return func() {} }, 4 * time.Second},
		"root is killed": {func(f *emul.Fleet) func() { kill(rootOf(storeRegion))(f); return func() {} }, 12 * time.Second},
		"all roots restart": {func(f *emul.Fleet) func() {
			restart(rootOf(storeRegion))(f)
			restart(rootOf("daugavpils"))(f)
			return func() {}
		}, 12 * time.Second},
		"region is lost": {func(f *emul.Fleet) func() { kill(inStoreRegion)(f); return func() {} }, 20 * time.Second},
		"region starts as new with the store": {func(f *emul.Fleet) func() {
			end, _ := kill(inStoreRegion)(f)
			return end
		}, 12 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := emul.NewFleet(40, twoRegions, 3)
				f.Platform.Accept(mustAgreement(t, 1, 5))
				f.Start()
				defer f.Stop()
				time.Sleep(settleTime)
				f.Platform.Accept(mustAgreement(t, 3, 6))
				time.Sleep(convergenceTarget)
				is.True(f.Converged(3))
				f.Platform.SetDown(true)
				after := tt.before(f)
				time.Sleep(time.Second)
				f.Platform.Restore(mustAgreement(t, 1, 5))
				f.Platform.SetDown(false)
				after()
				start := time.Now()
				for f.Platform.Unconfirmed() && time.Since(start) < tt.within {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("confirmed after %s", time.Since(start))
				is.True(!f.Platform.Unconfirmed())
				is.Equal(f.Platform.Accepted().Version(), ident.Version(3))
				f.Platform.Accept(mustAgreement(t, 4, 7))
				time.Sleep(2 * convergenceTarget)
				is.True(f.Converged(4))
			})
		})
	}
}
