package fanout

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
)

const (
	// confirmCheckInterval is how often a root checks, without a call, whether the head that it read last is to be
	// confirmed.
	confirmCheckInterval = 200 * time.Millisecond
	// confirmDelay is the time from then until the root of the store's region confirms head. Within it, a daemon that
	// holds a newer Version than the root has sent a heartbeat and its state.
	confirmDelay = heartbeatInterval + callTimeout + 400*time.Millisecond
	// remoteConfirmDelay is that of the roots of other regions, which read head only while the root of the store's
	// region does not respond. It is longer by the 6 s after which the lease of a lost root ends, and 1 s for the
	// election of the next.
	remoteConfirmDelay = confirmDelay + 7*time.Second
)

// confirmHeads confirms head after each restore of the store, until ctx ends.
func (r *root) confirmHeads(ctx context.Context) {
	s := r.node.deps.Store
	if s.HeadUnconfirmed == nil {
		return
	}
	wait := confirmDelay
	if r.node.deps.Place.Region != r.node.deps.StoreRegion {
		wait = remoteConfirmDelay
	}
	var since time.Time // when head was found unconfirmed; zero if it is confirmed
	for delay.Sleep(ctx, confirmCheckInterval) {
		switch {
		case !s.HeadUnconfirmed(r.node.Version()):
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) >= wait:
			r.confirmHead(ctx)
		}
	}
}

func (r *root) confirmHead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, headConfirmTimeout)
	defer cancel()
	if err := r.node.deps.Store.ConfirmHead(ctx, r.node.deps.Holder.Held()); err != nil {
		r.reportUnreadableHead(ctx, err)
	}
}
