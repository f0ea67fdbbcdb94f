package fanout

import (
	"context"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// RootLease is the content of the key that names a region's root. The zero value means that the
// key does not exist.
type RootLease struct {
	Addr     ident.Addr
	Revision int64
	Lease    int64 // ID of the store's lease; known only to its owner
	Era      int64 // of the store when the lease was granted; known only to its owner
}

// Store is the set of store calls that a Node needs. Each call is limited by its context.
type Store struct {
	// ReadHead returns the accepted Version and its hash, or zeros if there is none.
	ReadHead func(ctx context.Context) (ident.Version, agree.Hash, error)
	// LoadAgreement returns the accepted agreement.
	LoadAgreement func(ctx context.Context) (*agree.Agreement, error)
	// WatchHead blocks until the accepted Version is greater than after.
	WatchHead func(ctx context.Context, after ident.Version) (ident.Version, agree.Hash, error)
	// HeadUnconfirmed reports whether the store came back from a copy and head, as read last, is to be confirmed by a
	// root that holds a Version. Nil: never.
	HeadUnconfirmed func(held ident.Version) bool
	// ConfirmHead writes head again, as the held agreement if that has a higher Version.
	ConfirmHead func(ctx context.Context, held *agree.Agreement) error
	// ReadRoot returns the lease of the region's root.
	ReadRoot func(ctx context.Context, region ident.Region) (RootLease, error)
	// AcquireRoot writes addr under a new lease if the key still has the revision of prev.
	AcquireRoot func(ctx context.Context, region ident.Region, addr ident.Addr, prev RootLease) (RootLease, error)
	// RenewRoot extends the lease. An error does not mean that the lease is lost.
	RenewRoot func(ctx context.Context, lease RootLease) error
	// ReleaseRoot ends the lease.
	ReleaseRoot func(ctx context.Context, lease RootLease) error
}
