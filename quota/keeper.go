package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Errors returned by a Keeper.
var (
	ErrNotKeeper = errors.New("not the keeper")
	ErrNoKeeper  = errors.New("no keeper elected")
)

// maintainInterval is the interval at which the keeper updates its record and checks its
// lease.
const maintainInterval = 200 * time.Millisecond

// storeTimeout bounds one store call of the keeper.
const storeTimeout = 2 * time.Second

// Keeper takes part in the election of the keeper of a service. While elected it manages the
// floating units of the service.
type Keeper struct {
	d KeeperDeps

	mu   sync.Mutex
	term *term // nil while another daemon is keeper
}

// NewKeeper returns a Keeper that is not elected.
func NewKeeper(d KeeperDeps) *Keeper {
	return &Keeper{d: d}
}

// Run takes part in elections and serves as keeper while elected, until ctx ends. It then
// revokes the lease so that another candidate can take over immediately.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		// Later ranks try less often, to limit the reads of the store while a service has no
		// keeper.
		every := time.Duration(1+max(0, k.d.Rank())) * time.Second
		if !delay.Sleep(ctx, time.Duration((0.5+k.d.Rand())*float64(every)/2)) {
			return nil
		}
		if !k.d.Candidate() {
			continue
		}
		t, err := k.elect(ctx)
		if err != nil {
			k.d.Stats.Inc("Quota.ElectionFailed")
			continue
		}
		if t != nil {
			k.serveTerm(ctx, t)
		}
	}
	return nil
}

// Elected reports whether this daemon is the keeper and its lease is valid.
func (k *Keeper) Elected() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.termValid(k.term)
}

// Locate returns the address of the current keeper from the store.
func (k *Keeper) Locate(ctx context.Context) (ident.Addr, error) {
	if k.Elected() {
		return k.d.Addr, nil
	}
	v, err := k.d.Driver.Get(ctx, KeeperKey(k.d.Service))
	if err != nil {
		return "", fmt.Errorf("read keeper of %s: %w", k.d.Service, err)
	}
	if v.Revision == 0 {
		return "", fmt.Errorf("service %s: %w", k.d.Service, ErrNoKeeper)
	}
	return ident.Addr(v.Data), nil
}

// termValid reports whether the lease of t is valid on the keeper's clock, which may be slower
// than that of the store by up to 1%. The caller holds k.mu, or t is not shared yet.
func (k *Keeper) termValid(t *term) bool {
	return t != nil && !t.ended && t.era == k.era() && k.d.Clock.Since(t.renewed) < KeeperLeaseTTL*99/100
}

// era returns the era of the store in its answers so far.
func (k *Keeper) era() uint64 {
	if k.d.Driver.Era == nil {
		return 0
	}
	return k.d.Driver.Era()
}

// serveTerm runs the tasks of the keeper until its lease or ctx ends.
func (k *Keeper) serveTerm(ctx context.Context, t *term) {
	k.mu.Lock()
	k.term = t
	k.mu.Unlock()
	k.d.Log.Emit(event.KeeperElected, "Service", k.d.Service, "Epoch", t.epoch)
	k.d.Stats.Inc("Quota.Elected")
	var wg sync.WaitGroup
	sctx, cancel := context.WithCancel(ctx)
	wg.Go(func() { k.sealAll(sctx, t) })
	wg.Go(func() { k.renewLease(sctx, t) })
	wg.Go(func() { k.sendFrees(sctx, t) })
	for delay.Sleep(ctx, maintainInterval) && k.holdsLease(t) {
		k.maintain(ctx, t)
	}
	cancel()
	wg.Wait()
	k.mu.Lock()
	t.ended = true
	k.term = nil
	k.mu.Unlock()
	k.d.Log.Emit(event.KeeperEnded, "Service", k.d.Service, "Epoch", t.epoch)
	// The lease is revoked even if it has expired on this clock: the store may have extended
	// it.
	rctx, done := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer done()
	// A store that came back from a copy may have given out the id of the lease again.
	v, err := k.d.Driver.Get(rctx, KeeperKey(k.d.Service))
	if err == nil && (v.Revision != t.keyRevision || string(v.Data) != string(k.d.Addr)) {
		return
	}
	if err == nil {
		err = k.d.Driver.Revoke(rctx, t.lease)
	}
	if err != nil {
		k.d.Stats.Inc("Quota.RevokeFailed")
	}
}

func (k *Keeper) holdsLease(t *term) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.termValid(t)
}

// endTerm ends t early, for example because another keeper changed the record.
func (k *Keeper) endTerm(t *term) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t.ended = true
}

// renewLease renews the lease of t until ctx ends.
func (k *Keeper) renewLease(ctx context.Context, t *term) {
	wait := RenewInterval
	for delay.Sleep(ctx, wait) {
		at := k.d.Clock.Stamp()
		rctx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := k.d.Driver.Renew(rctx, t.lease)
		cancel()
		if err != nil {
			k.d.Stats.Inc("Quota.RenewFailed")
			wait = time.Second
			continue
		}
		k.mu.Lock()
		if k.termValid(t) {
			t.renewed = at
		}
		k.mu.Unlock()
		wait = RenewInterval
	}
}
