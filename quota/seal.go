package quota

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// sealAll asks the listed holders what they have in use, until all have answered or the
// keeper's lease ends.
func (k *Keeper) sealAll(ctx context.Context, t *term) {
	for round := 0; ; round++ {
		addrs := k.unanswered(t)
		if len(addrs) == 0 || round > 0 && !k.holdsLease(t) {
			return
		}
		if round == 3 {
			k.d.Log.Emit(event.HoldersSilent, "Service", k.d.Service, "Epoch", t.epoch, "Count", len(addrs), "First", addrs[0])
		}
		var wg sync.WaitGroup
		for _, addr := range addrs {
			wg.Go(func() { k.sealHolder(ctx, t, addr) })
		}
		wg.Wait()
		// A silent holder sends a Sync by itself when it is back. The backoff only delays the
		// news of the new keeper.
		if !delay.Sleep(ctx, min(5*time.Second, 300*time.Millisecond<<min(round, 5))) {
			return
		}
	}
}

// unanswered returns the listed holders that have not answered in this epoch.
func (k *Keeper) unanswered(t *term) []ident.Addr {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []ident.Addr
	for _, p := range t.peers {
		if !p.answered && !p.removing {
			out = append(out, p.addr)
		}
	}
	return out
}

func (k *Keeper) sealHolder(ctx context.Context, t *term, addr ident.Addr) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out Sealed
	in := Seal{Service: k.d.Service, Epoch: t.epoch, Keeper: k.d.Addr}
	if err := k.d.Call(ctx, addr, TypeSeal, in, &out); err != nil {
		k.d.Stats.Inc("Quota.SealFailed")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	p := t.peers[addr]
	// A Sync that arrived first is newer than this answer.
	if p == nil || p.answered {
		return
	}
	now := k.d.Clock.Mono()
	p.incarnation = out.Incarnation
	p.recordAge(now, out.Age, t.rec.Longest)
	t.replaceUses(p, out.Uses)
	t.restorePins(p, out.Pins, now)
	p.lastExchange = now
}
