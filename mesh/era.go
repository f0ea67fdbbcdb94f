package mesh

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// rewriteSpread is the time over which the daemons write their entries again after the store was restored. All learn
// of it at once, and the entries have to be back two seconds after the store.
const rewriteSpread = 500 * time.Millisecond

// observeEra records the era of the store, as stated by the store or another daemon. In a new era the store may lack
// the daemon's own entry or have an old one, and may have given the id of its lease to another daemon, so the entry is
// written again under a new lease.
func (n *Node) observeEra(e store.Era) {
	n.mu.Lock()
	before := n.era
	if e <= before {
		n.mu.Unlock()
		return
	}
	restored := before != 0 || n.entry.lease != 0 // else the daemon learns of the era for the first time
	n.era = e
	n.seq++
	n.entry.lease, n.entry.stored.Era, n.entry.writtenSeq = 0, e, -1
	n.mu.Unlock()
	n.updateSelf(n.self())
	n.d.Stats.Gauge("Store.Era", int64(e))
	if !restored {
		return
	}
	n.d.Log.Emit(event.StoreRestored, "Era", e, "Before", before)
	time.AfterFunc(time.Duration(n.d.Random()*float64(rewriteSpread)), n.requestEntryWrite)
}

// requestEntryWrite has the daemon's own entry written if it is outdated.
func (n *Node) requestEntryWrite() {
	select {
	case n.entryOutdated <- struct{}{}:
	default:
	}
}
