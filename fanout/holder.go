package fanout

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// Holder holds the agreement of one daemon. The held state is the newest one received. It
// becomes the served state once Open has been called and its Version is at or above the floor.
// The Versions of both never decrease.
type Holder struct {
	stats *stats.Set
	log   *event.Log

	served atomic.Pointer[agree.Agreement]
	held   atomic.Pointer[agree.Agreement]

	mu             sync.Mutex
	allowed        bool
	floor          ident.Version
	servedWatchers []func(old, cur *agree.Agreement)
	heldWatchers   []func(old, cur *agree.Agreement)
	lastWithheld   ident.Version
}

// NewHolder returns a Holder that serves the empty agreement until Open.
func NewHolder(s *stats.Set, l *event.Log) *Holder {
	h := &Holder{stats: s, log: l}
	h.served.Store(agree.Empty())
	h.held.Store(agree.Empty())
	return h
}

// Agreement returns the served agreement. Before Open it is the empty one of Version zero.
func (h *Holder) Agreement() *agree.Agreement { return h.served.Load() }

// Held returns the newest agreement received, whether or not it is served.
func (h *Holder) Held() *agree.Agreement { return h.held.Load() }

// Serving reports whether an accepted Version is served.
func (h *Holder) Serving() bool { return h.Agreement().Version() > 0 }

// Floor returns the lowest Version that may be served.
func (h *Holder) Floor() ident.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.floor
}

// RaiseFloor raises the floor to v. It affects only what Open allows to be served: a Version
// that is already served is at or above every floor known at Open.
func (h *Holder) RaiseFloor(v ident.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.floor = max(h.floor, v)
}

// AllowServing allows the held state to be served if it is at or above the floor.
func (h *Holder) AllowServing() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.allowed = true
	h.publish()
}

// ApplyDelta applies d to the held state. The error is a *DropError if d was dropped.
func (h *Holder) ApplyDelta(d Delta) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := d.apply(h.held.Load())
	if err != nil {
		return h.recordDrop(err)
	}
	h.setHeld(next)
	return nil
}

// Install replaces the held state with a. The error is a *DropError if a is older than the held
// state or has different content under the same Version. An identical state is counted as a
// duplicate and returns no error.
func (h *Holder) Install(a *agree.Agreement) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cur := h.held.Load()
	switch {
	case a.Version() < cur.Version():
		return h.recordDrop(&DropError{Reason: Stale, Version: a.Version(), Held: cur.Version()})
	case a.Version() > cur.Version():
		h.setHeld(a)
		return nil
	case a.Hash() != cur.Hash():
		return h.recordDrop(&DropError{Reason: Diverged, Version: a.Version(), Held: cur.Version()})
	}
	if a.Version() > 0 {
		_ = h.recordDrop(&DropError{Reason: Duplicate, Version: a.Version(), Held: cur.Version()})
	}
	return nil
}

// Watch registers f to be called after each change of the served agreement, in order of
// Versions. Of the methods of h, f may call only Agreement, Held and Serving.
func (h *Holder) Watch(f func(old, cur *agree.Agreement)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servedWatchers = append(h.servedWatchers, f)
}

// WatchHeld registers f to be called after each change of the held state. The restrictions of
// Watch apply.
func (h *Holder) WatchHeld(f func(old, cur *agree.Agreement)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heldWatchers = append(h.heldWatchers, f)
}

// setHeld replaces the held state. next must be validated and newer. h.mu must be held.
func (h *Holder) setHeld(next *agree.Agreement) {
	old := h.held.Swap(next)
	for _, f := range h.heldWatchers {
		f(old, next)
	}
	h.publish()
}

// publish serves the held state if allowed. h.mu must be held.
func (h *Holder) publish() {
	next, old := h.held.Load(), h.served.Load()
	if !h.allowed || next.Version() <= old.Version() {
		return
	}
	if next.Version() < h.floor {
		if h.lastWithheld < next.Version() {
			h.lastWithheld = next.Version()
			h.stats.Inc("Fanout.Withheld")
			h.log.Emit(event.VersionBelowFloor, "Version", next.Version(), "Floor", h.floor)
		}
		return
	}
	h.served.Store(next)
	h.stats.Gauge("Fanout.Version", int64(next.Version()))
	h.log.Emit(event.VersionInForce, "Version", next.Version(), "Hash", next.Hash(), "Rows", next.Len())
	for _, f := range h.servedWatchers {
		f(old, next)
	}
}

func (h *Holder) recordDrop(err error) error {
	var d *DropError
	if errors.As(err, &d) {
		h.countDrop(d)
	}
	return err
}

// recordOutdated counts a snapshot that is not newer than the held state.
func (h *Holder) recordOutdated(s Snapshot) error {
	d := &DropError{Reason: Stale, Version: s.Version, Held: h.Held().Version()}
	if d.Version == d.Held {
		d.Reason = Duplicate
	}
	h.countDrop(d)
	return d
}

// recordCorrupt counts an update whose message could not be decoded.
func (h *Holder) recordCorrupt(err error) error {
	d := &DropError{Reason: Corrupt, Held: h.Held().Version(), Err: err}
	h.countDrop(d)
	return d
}

func (h *Holder) countDrop(d *DropError) {
	h.stats.Inc("Fanout.Dropped." + string(d.Reason))
	h.log.Emit(dropEvents[d.Reason], "Version", d.Version, "Held", d.Held, "Error", d.Err)
}
