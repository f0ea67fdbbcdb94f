package quota

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// requestExchange asks Run for an exchange as soon as the pacer allows it.
func (h *Holder) requestExchange() {
	h.exchangeRequested.Store(true)
	select {
	case h.exchangeNow <- struct{}{}:
	default:
	}
}

// requestExchangeIfGrown requests an exchange if the keeper knows of less than a quarter of
// the unmet calls of a member. The first exchange of a surge reports its first calls only.
func (h *Holder) requestExchangeIfGrown(unmet, reported ident.Units) {
	if unmet > 4*reported {
		h.requestExchange()
	}
}

// minWait is the shortest wait between two exchanges. A timer of zero is run by the goroutine that receives from it, and
// under testing/synctest the race detector of Go 1.26 crashes if two goroutines run timers at the same time.
const minWait = time.Nanosecond

// Run exchanges messages with the keeper until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	var pace pacer
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			if !h.exchangeDue(&pace) {
				timer.Reset(max(minWait, h.nextWait(&pace)))
				continue
			}
		case <-h.exchangeNow:
			if h.failing() {
				continue // the timer runs the backoff
			}
			if wait := pace.untilNext(time.Now()); wait > 0 {
				timer.Reset(wait)
				continue
			}
		}
		begin := time.Now()
		pace.record(begin)
		h.exchangeRequested.Store(false)
		if err := h.exchange(ctx); err != nil {
			h.d.Stats.Inc("Quota.SyncFailed")
		}
		pace.slowKeeper = time.Since(begin) > maxQueueWait
		timer.Reset(max(minWait, h.nextWait(&pace)))
	}
}

// lockExchange waits until no other exchange is in progress. The caller then calls
// unlockExchange.
func (h *Holder) lockExchange(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait for the exchange in progress: %w", ctx.Err())
	case h.exchangeLock <- struct{}{}:
		return nil
	}
}

func (h *Holder) unlockExchange() { <-h.exchangeLock }

// exchange sends one Sync and applies the answer.
func (h *Holder) exchange(ctx context.Context) error {
	if err := h.lockExchange(ctx); err != nil {
		return err
	}
	defer h.unlockExchange()
	if h.leaving.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	keeper, err := h.locate(ctx)
	if err != nil {
		h.recordFailure()
		return err
	}
	msg, sent, at := h.nextSync()
	var g Grant
	if err := h.d.Call(ctx, keeper, TypeSync, sent, &g); err != nil {
		h.recordFailure()
		return fmt.Errorf("sync with keeper %s: %w", keeper, err)
	}
	return h.applyGrant(msg, sent, g, at)
}

// locate returns the address of the keeper: the known one, or after two failures the one in
// the store.
func (h *Holder) locate(ctx context.Context) (ident.Addr, error) {
	h.mu.Lock()
	known, failures := h.keeper, h.failures
	h.mu.Unlock()
	if known != "" && failures < 2 {
		return known, nil
	}
	addr, err := h.d.Locate(ctx)
	h.mu.Lock()
	h.noKeeper = errors.Is(err, ErrNoKeeper)
	h.mu.Unlock()
	if err != nil {
		if known != "" {
			return known, nil
		}
		return "", fmt.Errorf("locate keeper: %w", err)
	}
	h.mu.Lock()
	h.keeper = addr
	h.mu.Unlock()
	return addr, nil
}

func (h *Holder) failing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures > 0
}

func (h *Holder) recordFailure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	h.numbers.reset()
	if h.failures == 5 {
		h.d.Log.Emit(event.KeeperUnreachable, "Service", h.d.Service, "Keeper", h.keeper)
	}
}

// nextSync builds the next Sync. It returns the full message, the compact form to be sent, and
// the time of the request. Floating units that are not needed are given up.
func (h *Holder) nextSync() (msg, sent Sync, at Stamp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at = h.d.Clock.Stamp()
	h.seq++
	uses, withinShares := h.collectUses(false)
	v := h.view.Load()
	// The list is acknowledged once this holder keeps to it. Calls of an earlier process may
	// still use shares of the previous list.
	if withinShares && h.untilLongCallsEnd() == 0 && (h.d.Ready == nil || h.d.Ready(v.list.Version)) {
		h.ackedVersion = max(h.ackedVersion, v.list.Version)
	}
	msg = Sync{
		Service:     h.d.Service,
		Addr:        h.d.Addr,
		Incarnation: h.d.Incarnation,
		Seq:         h.seq,
		Epoch:       h.epoch,
		State:       h.state,
		Ack:         h.ackedVersion,
		Age:         h.uncleanAge(),
		Uses:        uses,
		Pins:        h.pinUses(false),
	}
	return msg, h.numbers.compact(msg), at
}

// collectUses returns the floating use of all members and lowers each limit to what is needed,
// or to zero with dropLimits. It reports false if calls exceed the shares of the list. The
// list is then not acknowledged, since the units of those calls belong to other holders.
func (h *Holder) collectUses(dropLimits bool) (out []Use, withinShares bool) {
	withinShares = true
	now := h.d.Clock.Mono()
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		if dropLimits || h.d.Clock.Since(s.grantedAt) >= s.ttl {
			for _, a := range s.admissions {
				a.limit = 0
			}
		}
		for member, a := range s.admissions {
			// A new keeper does not know the unmet demand.
			if dropLimits {
				a.reportedUnmet = 0
			}
			// Calls of an earlier process may hold the rest of the base share.
			base := h.usableBase(a, member, 0)
			used := a.aboveBase(base)
			need := a.takeUnmet(now, used)
			if used > 0 {
				// The peak keeps units over short gaps between calls. Without calls all are
				// returned.
				need += max(a.peak, used)
			} else if h.recentlyRaised(a) {
				need = max(need, a.limit)
			}
			need = min(need, floatingUnits(h.d.Cap(member)))
			a.limit = min(a.limit, need)
			if used > a.limit || a.long > maxLongCalls(base) {
				withinShares = false
			}
			a.peak, a.committed = used, max(a.limit, used)
			if used > 0 || a.limit > 0 || need > 0 {
				out = append(out, Use{Member: member, Limit: a.limit, Used: used, Want: need})
			}
			if a.idle() {
				delete(s.admissions, member)
			}
		}
		s.mu.Unlock()
	}
	return out, withinShares
}

// pinUses returns the pins. The caller holds h.mu.
func (h *Holder) pinUses(confirmedOnly bool) []PinUse {
	var out []PinUse
	now := h.d.Clock.Wall()
	for id, p := range h.pins {
		if p.confirmed || !confirmedOnly {
			out = append(out, PinUse{ID: id, Member: p.member, Left: max(0, p.deadline.Sub(now)), Confirmed: p.confirmed})
		}
	}
	return out
}

// applyGrant applies the answer to msg, which was sent in the compact form sent at the given
// time. A late or superseded answer is discarded.
func (h *Holder) applyGrant(msg, sent Sync, g Grant, at Stamp) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if msg.Seq != h.seq || g.Epoch < h.epoch {
		h.numbers.reset()
		h.d.Stats.Inc("Quota.GrantStale")
		return fmt.Errorf("grant of epoch %d is superseded by epoch %d", g.Epoch, h.epoch)
	}
	if g.Listed && len(g.Units) != len(msg.Uses) {
		h.numbers.reset()
		h.d.Stats.Inc("Quota.GrantMismatch")
		return fmt.Errorf("grant has limits for %d members, but the sync has %d", len(g.Units), len(msg.Uses))
	}
	h.epoch, h.state, h.failures = g.Epoch, g.State, 0
	h.lastAnswered, h.noKeeper = at, false
	h.numbers.confirm(msg, sent, g)
	if g.List != nil {
		h.listChanged = at
		h.view.Store(&view{gen: h.view.Load().gen + 1, list: *g.List})
	}
	if g.Listed {
		if g.Clean && h.confirmedAt.Load() == nil {
			h.clean.Store(true)
			h.joined.Store(g.Joined)
			h.predecessor.Store(int64(g.After))
		}
		h.confirmedAt.Store(&at)
	}
	// The keeper can grant the withdrawn units to others only after the next Sync.
	if h.setLimits(msg, g, at) {
		h.requestExchange()
	}
	for _, id := range g.Pinned {
		if p := h.pins[id]; p != nil && !p.confirmed {
			p.confirmed = true
			close(p.ready)
		}
	}
	return nil
}
