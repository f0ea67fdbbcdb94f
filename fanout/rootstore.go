package fanout

import (
	"context"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// acquireLease writes the own address to the key of the region's root.
func (r *root) acquireLease(ctx context.Context, prev RootLease) (lease RootLease, err error) {
	err = withStoreTimeout(ctx, func(ctx context.Context) (err error) {
		lease, err = r.node.deps.Store.AcquireRoot(ctx, r.node.deps.Place.Region, r.node.deps.Addr, prev)
		return err
	})
	return lease, err
}

func (r *root) readHead(ctx context.Context) (v ident.Version, err error) {
	err = withStoreTimeout(ctx, func(ctx context.Context) (err error) {
		v, _, err = r.node.deps.Store.ReadHead(ctx)
		return err
	})
	return v, err
}

// withStoreTimeout runs one store call with storeTimeout.
func withStoreTimeout(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return f(ctx)
}

func (r *root) loadAgreement(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	a, err := r.node.deps.Store.LoadAgreement(ctx)
	if err != nil {
		return err
	}
	_ = r.node.deps.Holder.Install(a) // the Holder counts drops; a newer state may have arrived
	return nil
}

func (r *root) reportUnreadableHead(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	r.node.deps.Stats.Inc("Fanout.HeadUnreadable")
	r.node.deps.Log.Emit(event.HeadUnreadable, "Error", err)
}
