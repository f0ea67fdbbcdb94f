package mesh

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLostDaemonForgotten guards against daemons that keep one which was lost as a server for good, because it had
// opened the link between them.
func TestLostDaemonForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t, 4, 6)
		f.startAll()
		defer f.stopAll()
		n := f.quiet()
		f.kill(n)
		time.Sleep(DefaultConfig().Lease + missingTime + time.Second)
		f.requireKnown(n, false)
	})
}
