package fanout

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// headCache shares one read of head among the daemons that start at the same time.
type headCache struct {
	mu        sync.Mutex
	inFlight  chan struct{} // closed when the current read ends
	startedAt time.Time
	version   ident.Version
	valid     bool
}

// get returns head from a read that began at most a second ago. It returns false if the store
// did not respond in time (half of callTimeout).
func (h *headCache) get(ctx context.Context, read func(context.Context) (ident.Version, agree.Hash, error)) (ident.Version, bool) {
	h.mu.Lock()
	if h.inFlight == nil && (h.startedAt.IsZero() || time.Since(h.startedAt) > time.Second) {
		h.inFlight, h.startedAt = make(chan struct{}), time.Now()
		go h.fetch(read)
	}
	running := h.inFlight
	h.mu.Unlock()
	if running != nil {
		select {
		case <-running:
		case <-ctx.Done():
			return 0, false
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.valid
}

func (h *headCache) fetch(read func(context.Context) (ident.Version, agree.Hash, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout/2)
	defer cancel()
	v, _, err := read(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version, h.valid = v, err == nil
	close(h.inFlight)
	h.inFlight = nil
}
