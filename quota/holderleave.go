package quota

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
)

// handleSeal accepts a new keeper: it gives up the floating limits, and answers with a lower
// epoch are rejected from now on.
func (h *Holder) handleSeal(m Seal) (Sealed, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.Service != h.d.Service {
		return Sealed{}, fmt.Errorf("holder serves %s, not %s", h.d.Service, m.Service)
	}
	if m.Epoch < h.epoch {
		return Sealed{}, fmt.Errorf("epoch %d is below %d", m.Epoch, h.epoch)
	}
	if m.Epoch > h.epoch {
		h.epoch, h.keeper, h.failures = m.Epoch, m.Keeper, 0
		h.state = 0 // each keeper counts the states of its own term
		h.numbers.reset()
		h.seq++ // invalidates the answer to a Sync in flight
	}
	uses, _ := h.collectUses(true)
	return Sealed{
		Incarnation: h.d.Incarnation,
		Age:         h.uncleanAge(),
		Uses:        uses,
		Pins:        h.pinUses(true),
	}, nil
}

// Leave stops admission and tells the keeper. It fails while calls are in flight. With remove
// the holder also leaves the list. Leave retries until ctx ends, since the keeper may be
// changing. It reports whether the keeper recorded a clean leave; otherwise the next process
// starts uncleanly.
func (h *Holder) Leave(ctx context.Context, remove bool) (bool, error) {
	h.leaving.Store(true)
	if n := h.InUse(); n > 0 {
		return false, fmt.Errorf("cannot leave with %d calls in flight", n)
	}
	// A process that started uncleanly is also responsible for calls of the previous one.
	if h.confirmedAt.Load() == nil || h.untilLongCallsEnd() > 0 {
		return false, errors.New("cannot leave while calls of the previous process may still run")
	}
	if err := h.lockExchange(ctx); err != nil {
		return false, err
	}
	defer h.unlockExchange()
	for {
		clean, err := h.sendLeave(ctx, remove)
		if err == nil {
			return clean, nil
		}
		h.recordFailure()
		if !delay.Sleep(ctx, time.Duration((0.5+h.d.Rand())*float64(callTimeout))) {
			return false, err
		}
	}
}

// sendLeave sends a Leave message to the keeper.
func (h *Holder) sendLeave(ctx context.Context, remove bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	keeper, err := h.locate(ctx)
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	h.seq++
	msg := Leave{Service: h.d.Service, Addr: h.d.Addr, Incarnation: h.d.Incarnation, Seq: h.seq, Remove: remove}
	h.mu.Unlock()
	var out Left
	if err := h.d.Call(ctx, keeper, TypeLeave, msg, &out); err != nil {
		return false, fmt.Errorf("leave keeper %s: %w", keeper, err)
	}
	return out.Clean, nil
}
