package mesh

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// countingFromZero returns a driver of a store whose first era is 0, as one that counts its restores states it.
func countingFromZero(d store.Driver) store.Driver {
	out := d
	lower := func(e store.Era) store.Era { return max(0, e-1) }
	out.List = func(ctx context.Context, prefix string) ([]store.Value, error) {
		vs, err := d.List(ctx, prefix)
		for i := range vs {
			vs[i].Era = lower(vs[i].Era)
		}
		return vs, err
	}
	out.StaleList = func(ctx context.Context, prefix string) ([]store.Value, error) {
		vs, err := d.StaleList(ctx, prefix)
		for i := range vs {
			vs[i].Era = lower(vs[i].Era)
		}
		return vs, err
	}
	out.Swap = func(ctx context.Context, key string, revision int64, data []byte, id store.LeaseID) (store.Value, error) {
		v, err := d.Swap(ctx, key, revision, data, id)
		v.Era = lower(v.Era)
		return v, err
	}
	out.Snapshot = func(ctx context.Context, prefix string) ([]store.Value, store.Position, error) {
		vs, at, err := d.Snapshot(ctx, prefix)
		for i := range vs {
			vs[i].Era = lower(vs[i].Era)
		}
		at.Era = lower(at.Era)
		return vs, at, err
	}
	out.Follow = func(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Change, store.Position, error) {
		after.Era++
		cs, at, err := d.Follow(ctx, prefix, after, wait)
		for i := range cs {
			cs[i].Era = lower(cs[i].Era)
		}
		at.Era = lower(at.Era)
		return cs, at, err
	}
	out.Era = func() store.Era { return lower(d.Era()) }
	return out
}

// rejectingDriver returns a driver of a store that rejects the calls of n while rejected holds it.
func rejectingDriver(d store.Driver, n *syncNode, rejected *atomic.Pointer[syncNode]) store.Driver {
	out := d
	check := func() error {
		if rejected.Load() == n {
			return fmt.Errorf("%w: rejected", store.ErrUnavailable)
		}
		return nil
	}
	out.StaleList = func(ctx context.Context, prefix string) ([]store.Value, error) {
		if err := check(); err != nil {
			return nil, err
		}
		return d.StaleList(ctx, prefix)
	}
	out.Swap = func(ctx context.Context, key string, revision int64, data []byte, id store.LeaseID) (store.Value, error) {
		if err := check(); err != nil {
			return store.Value{}, err
		}
		return d.Swap(ctx, key, revision, data, id)
	}
	out.Grant = func(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
		if err := check(); err != nil {
			return 0, err
		}
		return d.Grant(ctx, ttl)
	}
	out.Renew = func(ctx context.Context, id store.LeaseID) error {
		if err := check(); err != nil {
			return err
		}
		return d.Renew(ctx, id)
	}
	out.Snapshot = func(ctx context.Context, prefix string) ([]store.Value, store.Position, error) {
		if err := check(); err != nil {
			return nil, store.Position{}, err
		}
		return d.Snapshot(ctx, prefix)
	}
	out.Follow = func(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Change, store.Position, error) {
		if err := check(); err != nil {
			return nil, after, err
		}
		return d.Follow(ctx, prefix, after, wait)
	}
	return out
}

// asOverHTTP returns a driver like that of the store's protocol, which does not tell the store the caller's era: a watch
// waits although the store was restored, and only its answer shows it.
func (f *syncFleet) asOverHTTP(d store.Driver) store.Driver {
	out := d
	out.Follow = func(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Change, store.Position, error) {
		cs, at, err := d.Follow(ctx, prefix, store.Position{Era: f.store.Era(), Revision: after.Revision}, wait)
		if err == nil && at.Era != after.Era {
			return nil, after, fmt.Errorf("%w: era %d", store.ErrCompacted, at.Era)
		}
		return cs, at, err
	}
	return out
}
