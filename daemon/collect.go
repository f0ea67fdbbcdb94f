package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// collectInterval is the mean interval between removals of chunks that no kept Version refers to.
// Chunks stay in the store for a day after their last use.
const collectInterval = 6 * time.Hour

// collectChunks periodically removes unreferenced chunks from the store while this daemon is the root of
// the store's region.
func (d *Daemon) collectChunks() {
	// Jitter makes it unlikely that a former and a new root collect at the same time.
	for delay.Sleep(d.ctx, collectInterval/2+rand.N(collectInterval)) {
		if !d.node.IsRoot() || d.settings.place().Region != ident.Region(d.settings.Store.Region) {
			continue
		}
		if _, err := d.store.accept.Collect(d.ctx); err != nil {
			d.stats.Inc("Store.CollectFailed")
			d.log.Emit(event.CollectFailed, "Error", err)
		}
	}
}
