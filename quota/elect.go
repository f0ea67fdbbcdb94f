package quota

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// errConflict reports that the key was changed by another keeper.
var errConflict = errors.New("key was changed by another keeper")

// elect tries to become keeper. It returns nil without an error if another daemon is keeper.
func (k *Keeper) elect(ctx context.Context) (*term, error) {
	v, err := k.get(ctx, KeeperKey(k.d.Service))
	if err != nil || v.Revision != 0 {
		return nil, err
	}
	t := &term{
		era:        k.era(),           // known from the read
		renewed:    k.d.Clock.Stamp(), // read before the store starts the lease
		peers:      map[ident.Addr]*peer{},
		pools:      map[ident.MemberID]*unitPool{},
		unlisted:   map[ident.Addr]struct{}{},
		state:      1,
		freesReady: make(chan struct{}, 1),
	}
	gctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if t.lease, err = k.d.Driver.Grant(gctx, KeeperLeaseTTL); err != nil {
		return nil, fmt.Errorf("grant keeper lease: %w", err)
	}
	if err := k.takeover(ctx, t); err != nil {
		rctx, done := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
		defer done()
		if rerr := k.d.Driver.Revoke(rctx, t.lease); rerr != nil {
			k.d.Stats.Inc("Quota.RevokeFailed")
		}
		if errors.Is(err, errConflict) {
			return nil, nil
		}
		return nil, err
	}
	return t, nil
}

// takeover writes the leased keeper key and increments the epoch of the record.
func (k *Keeper) takeover(ctx context.Context, t *term) error {
	revision, err := k.swap(ctx, t, KeeperKey(k.d.Service), 0, []byte(k.d.Addr), t.lease)
	if err != nil {
		return err
	}
	t.keyRevision = revision
	v, err := k.get(ctx, RecordKey(k.d.Service))
	if err != nil {
		return err
	}
	rec, err := decodeRecord(v.Data)
	if err != nil {
		return err
	}
	afterRestore := rec.isBefore(t.era)
	if afterRestore {
		rec.adoptList(k.newestList(ctx, rec), k.d.Clock.Wall())
		lost := (t.era - rec.Era) * maxLostVersions
		rec.Epoch += lost
		rec.ListVersion += lost
	}
	rec.Epoch++
	rec.Era = t.era
	rec.Keeper = k.d.Addr
	rec.Longest = max(rec.Longest, k.d.LongTimeout())
	// The times were written by the clock of another keeper, so retention starts again.
	until := k.d.Clock.Wall().Add(withClockTolerance(RecordRetention)).Unix()
	for i := range rec.Lost {
		rec.Lost[i].Until = until
	}
	// The record was read while the lease was valid. If a later keeper changes it, the swap
	// fails.
	if !k.termValid(t) {
		return errConflict
	}
	t.revision = v.Revision
	if err := k.writeRecord(ctx, t, rec); err != nil {
		return err
	}
	t.epoch = rec.Epoch
	t.started = k.d.Clock.Mono()
	if afterRestore {
		// The keeper before does not know of the restore until it has called the store, and its lease was renewed
		// before. Pins that it has confirmed last as long as their calls.
		t.floatingFreeAt = t.started + withClockTolerance(KeeperLeaseTTL+silentTimeout)
		t.pinnableFreeAt = t.started + withClockTolerance(KeeperLeaseTTL+maxCallTime(rec.Longest)+StopGrace)
	}
	for _, addr := range slices.Concat(rec.Holders, rec.Joining) {
		p := t.addPeer(addr, t.started)
		p.floatingFreeAt = t.started + withClockTolerance(silentTimeout)
		p.pinnableFreeAt = t.started + withClockTolerance(maxCallTime(rec.Longest)+StopGrace)
	}
	return nil
}

// newestList returns the newest list in effect at this daemon and at the holders in rec that answer in time. This daemon
// has none if its process is new.
func (k *Keeper) newestList(ctx context.Context, rec Record) List {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	newest := k.d.List()
	for _, addr := range slices.Concat(rec.Holders, rec.Joining) {
		wg.Go(func() {
			var l List
			if err := k.d.Call(ctx, addr, TypeList, ListRequest{Service: k.d.Service}, &l); err != nil {
				k.d.Stats.Inc("Quota.ListFailed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if l.Version > newest.Version {
				newest = l
			}
		})
	}
	wg.Wait()
	return newest
}

// writeRecord replaces the record in the store and in t.
func (k *Keeper) writeRecord(ctx context.Context, t *term, rec Record) error {
	data, err := rec.encode()
	if err != nil {
		return err
	}
	revision, err := k.swap(ctx, t, RecordKey(k.d.Service), t.revision, data, 0)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	t.rec, t.revision = rec, revision
	t.state++
	return nil
}

// get reads a key from the store.
func (k *Keeper) get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := k.d.Driver.Get(ctx, key)
	if err != nil {
		return v, fmt.Errorf("read %s: %w", key, err)
	}
	return v, nil
}

// swap replaces the value of key and returns the new revision. After an error it reads the
// key, since the write may have succeeded although its response was lost. It fails with
// errConflict if another keeper has changed the key, and retries only while the lease of t is
// valid.
func (k *Keeper) swap(ctx context.Context, t *term, key string, revision int64, data []byte, lease LeaseID) (int64, error) {
	for k.holdsLease(t) {
		sctx, cancel := context.WithTimeout(ctx, storeTimeout)
		v, err := k.d.Driver.Swap(sctx, key, revision, data, lease)
		cancel()
		if err == nil {
			return v.Revision, nil
		}
		k.d.Stats.Inc("Quota.SwapFailed")
		if v, rerr := k.get(ctx, key); rerr == nil && v.Revision != revision {
			if bytes.Equal(v.Data, data) && lease == 0 {
				return v.Revision, nil
			}
			return 0, fmt.Errorf("swap %s: %w", key, errConflict)
		}
		if !delay.Sleep(ctx, time.Duration(k.d.Rand()*float64(time.Second))) {
			return 0, ctx.Err()
		}
	}
	return 0, fmt.Errorf("swap %s: lease ended: %w", key, errConflict)
}
