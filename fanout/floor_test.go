package fanout_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Guards against a root that serves an old Version after a restart: it was the only daemon in
// its region with the newest Version, and restarts while the store is down.
func TestRootKeepsFloorAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := emul.NewFleet(12, twoRegions, 2)
		c := newChecker(t.Errorf, f)
		c.accept()
		f.Start()
		defer f.Stop()
		time.Sleep(settleTime)
		root := pick(f, func(d *emul.Daemon) bool { return d.Node.IsRoot() && d.Place.Region == "daugavpils" })[0]
		f.SetTamper(func(to ident.Addr, _ wire.Type, b []byte) [][]byte {
			if d := f.Daemon(to); d == root || d.Place.Region == "riga" {
				return [][]byte{b}
			}
			return nil
		})
		v := c.accept()
		time.Sleep(3 * time.Second)
		is.Equal(root.Version(), v)
		f.Platform.SetDown(true)
		f.Net.Partition("riga", "daugavpils", true)
		root.Kill()
		root.Start()
		time.Sleep(5 * time.Second) // the checker fails if the root serves an older Version
		f.SetTamper(nil)
		f.Platform.SetDown(false)
		f.Net.Partition("riga", "daugavpils", false)
		c.waitServed(10*time.Second, c.accept(), "in the end", allDaemons)
	})
}
