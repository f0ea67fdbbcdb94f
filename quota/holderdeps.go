package quota

import (
	"context"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// HolderDeps holds the dependencies of a Holder.
type HolderDeps struct {
	Service     ident.ServiceID
	Addr        ident.Addr // wire address under which this daemon is listed
	Incarnation ident.Incarnation
	Clock       Clock

	// Cap returns the cap of a member for the service in the active agreement.
	Cap func(member ident.MemberID) ident.Units
	// Locate returns the current keeper of the service; see Keeper.Locate.
	Locate func(ctx context.Context) (ident.Addr, error)
	Call   Call
	// Ready reports whether the idempotency keys allow the list version to be acknowledged;
	// see dedup.Table.Ready. Nil means that they always do.
	Ready func(version uint64) bool
	// Rand returns a number in [0, 1) for jitter.
	Rand func() float64

	Log   *event.Log
	Stats *stats.Set
}
