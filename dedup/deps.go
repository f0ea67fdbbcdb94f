package dedup

import (
	"context"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// TableDeps holds the dependencies of a Table.
type TableDeps struct {
	Service     ident.ServiceID // service whose keys the table holds
	Addr        ident.Addr      // wire address of this daemon, as in the holder list
	Incarnation ident.Incarnation

	// Methods of the service's quota.Holder, under the same names.
	List                func() quota.List
	Leased              func() bool
	Confirmed           func() bool
	PreviousIncarnation func() ident.Incarnation
	Joined              func() bool

	Call  quota.Call
	Rand  func() uint64 // for the nonce of bound keys
	Log   *event.Log
	Stats *stats.Set
}

// ClientDeps holds the dependencies of a Client.
type ClientDeps struct {
	Addr  ident.Addr // wire address of this daemon
	Table *Table     // serves the keys whose home is this daemon
	// List returns the holder list of a service. With refresh set, it first fetches the
	// list from a holder (quota.TypeList).
	List  func(ctx context.Context, service ident.ServiceID, refresh bool) (quota.List, error)
	Call  quota.Call
	Rand  func() float64 // in [0, 1), for jitter
	Stats *stats.Set
}
