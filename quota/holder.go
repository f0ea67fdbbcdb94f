package quota

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Holder admits the calls to one service at the daemon beside a backend server. It admits
// calls only while Run is running.
type Holder struct {
	d           HolderDeps
	started     Stamp
	exchangeNow chan struct{}
	view        atomic.Pointer[view]
	// confirmedAt is when the last confirmed exchange was sent, nil before the first.
	confirmedAt       atomic.Pointer[Stamp]
	clean             atomic.Bool  // no calls of an earlier process can be running
	joined            atomic.Bool  // this is the first process at a newly listed address
	predecessor       atomic.Int64 // incarnation of the process before this one, if it left cleanly
	leaving           atomic.Bool  // Leave was called
	exchangeRequested atomic.Bool  // requestExchange was called since the last Sync

	shards [shardCount]shard

	exchangeLock chan struct{} // held during an exchange

	mu           sync.Mutex
	keeper       ident.Addr
	epoch        uint64
	state        uint64
	seq          uint64 // of the last message; only the answer to it is accepted
	ackedVersion uint64
	pins         map[uint64]*pin
	nextPin      uint64
	lastAnswered Stamp
	listChanged  Stamp // when the Sync was sent whose answer last changed the list
	failures     int   // consecutive failed exchanges
	noKeeper     bool  // the store has no keeper for the service
	numbers      syncNumbers
}

// NewHolder returns a Holder without units.
func NewHolder(d HolderDeps) *Holder {
	h := &Holder{
		d:            d,
		started:      d.Clock.Stamp(),
		exchangeNow:  make(chan struct{}, 1),
		exchangeLock: make(chan struct{}, 1),
		pins:         map[uint64]*pin{},
	}
	h.lastAnswered, h.listChanged = h.started, h.started
	h.view.Store(&view{gen: 1})
	for i := range h.shards {
		h.shards[i].admissions = map[ident.MemberID]*admission{}
	}
	return h
}

// Acquire admits the call or returns a *refuse.Refusal for a call that did not run, with the
// reason CapReached (another holder may have units) or CapUnavailable. The caller calls
// release when the call has ended.
func (h *Holder) Acquire(ctx context.Context, req Request) (release func(), err error) {
	left := req.Deadline.Sub(h.d.Clock.Wall())
	if text := h.unavailableReason(left); text != "" {
		return nil, h.refuse(refuse.CapUnavailable, text)
	}
	if h.d.Cap(req.Member) <= 0 {
		return nil, h.refuse(refuse.CapUnavailable, "member has no cap in the service")
	}
	if req.Class == agree.Long || left > MaxShortTimeout {
		return h.acquireLong(ctx, req, left)
	}
	return h.acquireShort(ctx, req, left)
}

// InUse returns the number of calls that hold a unit.
func (h *Holder) InUse() ident.Units {
	var n ident.Units
	h.forEachAdmission(func(_ ident.MemberID, a *admission) { n += a.short + a.long })
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pins {
		if p.confirmed {
			n++
		}
	}
	return n
}

// List returns the holder list in effect. Callers must not modify it.
func (h *Holder) List() List { return h.view.Load().list }

// BaseLeaseValid reports whether the base lease is valid. Only then may the daemon serve, as their
// home, idempotency keys that are not bound; see dedup.Bound.
func (h *Holder) BaseLeaseValid() bool {
	return !h.leaving.Load() && h.baseLeaseCovers(0)
}

// Clean reports whether the keeper has confirmed that the previous process at this address
// stopped gracefully, or that there was none.
func (h *Holder) Clean() bool { return h.clean.Load() }

// FirstProcess reports whether this is the first process at a newly listed address.
func (h *Holder) FirstProcess() bool { return h.joined.Load() }

// PreviousIncarnation returns the incarnation of the previous process at this address if it left cleanly,
// otherwise zero.
func (h *Holder) PreviousIncarnation() ident.Incarnation {
	return ident.Incarnation(h.predecessor.Load())
}

// Confirmed reports whether the keeper has confirmed that this holder is listed.
func (h *Holder) Confirmed() bool { return h.confirmedAt.Load() != nil }

// WithoutKeeper reports whether the holder has had no answer from a keeper for GrantTTL, or knows
// that the service has no keeper. The daemon may then try to become keeper.
func (h *Holder) WithoutKeeper() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures > 0 && (h.noKeeper || h.d.Clock.Since(h.lastAnswered) >= GrantTTL)
}
