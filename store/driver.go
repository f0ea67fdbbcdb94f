package store

import (
	"context"
	"time"
)

// Driver makes single calls to a store. A driver returns ErrUnavailable only for a call that
// certainly took no effect, and ErrUnknown or any other error for a write whose answer was lost.
type Driver struct {
	// Get returns the value of key, with Revision 0 if the key is absent.
	Get func(ctx context.Context, key string) (Value, error)
	// List returns the values whose keys have the prefix, in the order of the keys.
	List func(ctx context.Context, prefix string) ([]Value, error)
	// Swap writes data if key is at revision (0: absent) and returns the new value. With
	// ErrConflict it returns the current value. A lease other than zero deletes the key when
	// it ends; ErrLeaseLost means that it has ended already.
	Swap func(ctx context.Context, key string, revision int64, data []byte, lease LeaseID) (Value, error)
	// Delete deletes key if it is at revision, else it returns ErrConflict. Revision 0 deletes
	// the key at any revision and accepts that it is absent.
	Delete func(ctx context.Context, key string, revision int64) error
	// Grant creates a lease that ends ttl after the last Renew, on the store's clock. The
	// HTTP driver rounds ttl up to whole seconds.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl. ErrLeaseLost means that it has ended.
	Renew func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys. ErrLeaseLost means that it had ended before.
	Revoke func(ctx context.Context, id LeaseID) error
	// Watch blocks until key is at a revision above after, or, if after is above 0, until key
	// is absent; it returns the current state in both cases. Intermediate states may be skipped.
	Watch func(ctx context.Context, key string, after int64) (Value, error)
	// Snapshot returns the values whose keys have the prefix, and a revision from which Follow tells
	// all later changes. Nil: not supported.
	Snapshot func(ctx context.Context, prefix string) ([]Value, int64, error)
	// Follow waits, at most for the given time, until a key with the prefix has changed after a
	// revision. It returns the changes, none if there were none, and the revision from which to go on.
	// ErrCompacted means that these changes are no longer known. Nil: not supported.
	Follow func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error)
}
