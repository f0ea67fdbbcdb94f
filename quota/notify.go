package quota

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// minExcessUnits is by how many units a holder's limit must exceed its fair share for the
// holder to be told before its next exchange. The fair share varies by one unit with each
// Sync.
const minExcessUnits = 2

// holdersToNotify returns the holders whose next exchange is likely to gain them units and, if
// too few units are free, the waiting ones that have more than their fair share.
func (p *unitPool) holdersToNotify(units ident.Units) []ident.Addr {
	free := units - p.committedByOthers("")
	if !p.needsNotify(free, units) {
		return nil
	}
	claims := p.fairShares(units)
	slices.SortFunc(claims, func(x, y claim) int { return cmp.Compare(x.addr, y.addr) })
	short := ident.Units(0)
	var out []ident.Addr
	for _, c := range claims {
		lack := c.fairShare - c.allocation.committed
		if !c.allocation.waits || lack <= 0 {
			continue
		}
		if free > 0 {
			c.allocation.waits = false
			out = append(out, c.addr)
		}
		free -= lack
		short = max(0, -free)
	}
	for _, c := range claims {
		excess := c.allocation.granted - c.fairShare
		if short > 0 && c.allocation.waits && excess >= minExcessUnits {
			c.allocation.waits = false
			short -= excess
			out = append(out, c.addr)
		}
	}
	return out
}

// needsNotify reports whether a holder waits while units are free, or a waiting holder may
// have more than its fair share.
func (p *unitPool) needsNotify(free, units ident.Units) bool {
	waits, most := false, ident.Units(0)
	for _, alloc := range p.allocs {
		if alloc.waits {
			waits, most = true, max(most, alloc.granted)
		}
	}
	if !waits || free > 0 {
		return waits
	}
	_, level, _ := p.fillLevel(units)
	return most-level >= minExcessUnits
}

// notifyHolders queues a Free for the holders affected by a change of member's units. The
// caller holds k.mu.
func (k *Keeper) notifyHolders(t *term, member ident.MemberID, allWithheld, pinnableWithheld bool) {
	pool := t.pools[member]
	if pool == nil || allWithheld {
		return
	}
	for _, addr := range pool.holdersToNotify(k.assignable(pool, member, pinnableWithheld)) {
		// One Free makes the holder report all its members.
		p := t.peers[addr]
		if p == nil || p.freeSent {
			continue
		}
		p.freeSent = true
		t.pendingFrees = append(t.pendingFrees, addr)
		select {
		case t.freesReady <- struct{}{}:
		default:
		}
	}
}

// sendFrees sends the pending Free messages until ctx ends.
func (k *Keeper) sendFrees(ctx context.Context, t *term) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.freesReady:
		}
		k.mu.Lock()
		addrs := t.pendingFrees
		t.pendingFrees = nil
		k.mu.Unlock()
		for _, addr := range addrs {
			wg.Go(func() { k.sendFree(ctx, addr) })
		}
	}
}

func (k *Keeper) sendFree(ctx context.Context, addr ident.Addr) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.d.Stats.Inc("Quota.FreeSent")
	if err := k.d.Call(ctx, addr, TypeFree, Free{Service: k.d.Service}, nil); err != nil {
		k.d.Stats.Inc("Quota.FreeFailed")
	}
}
