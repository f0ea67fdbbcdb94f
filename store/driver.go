package store

import (
	"context"
	"time"
)

// Driver sends single calls to a store, without retries. It returns ErrUnavailable only if the call
// definitely had no effect, and ErrUnknown or any other error for a write whose answer was lost.
type Driver struct {
	// Get returns the value of key, with Revision 0 if the key does not exist.
	Get func(ctx context.Context, key string) (Value, error)
	// List returns the values whose keys have the prefix, ordered by key.
	List func(ctx context.Context, prefix string) ([]Value, error)
	// Swap writes data if key is at revision (0: does not exist) and returns the new value, else
	// it returns the current value with ErrConflict. If lease is not zero, the store deletes the
	// key when the lease ends; ErrLeaseLost means that it has ended already.
	Swap func(ctx context.Context, key string, revision int64, data []byte, lease LeaseID) (Value, error)
	// Delete deletes key if it is at revision, else it returns ErrConflict. Revision 0 deletes
	// the key at any revision and returns no error if it does not exist.
	Delete func(ctx context.Context, key string, revision int64) error
	// Grant creates a lease that ends ttl after the last Renew, measured by the store's clock. The
	// HTTP driver rounds ttl up to whole seconds.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl. ErrLeaseLost means that it has ended.
	Renew func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys. ErrLeaseLost means that it has ended already.
	Revoke func(ctx context.Context, id LeaseID) error
	// Watch blocks until key is written after a position or, if its revision is above 0, until key is deleted. With
	// a position of another era whose revision is above 0 it does not block. It returns the current state in all
	// cases. Intermediate states may be skipped.
	Watch func(ctx context.Context, key string, after Position) (Value, error)
	// Snapshot returns the values whose keys have the prefix, and the position after which
	// Follow returns all changes. Nil if not supported.
	Snapshot func(ctx context.Context, prefix string) ([]Value, Position, error)
	// StaleList is List, but the result may be seconds old and costs the store less. Nil: List is used.
	StaleList func(ctx context.Context, prefix string) ([]Value, error)
	// Follow waits up to wait for a change of a key with the prefix after a position. It returns the
	// changes, or none, and the position to pass to the next Follow. ErrCompacted means that the
	// store no longer has these changes, or was restored from a copy since. Nil if not supported.
	Follow func(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Change, Position, error)
	// Era returns the highest era of an answer so far. Nil if not supported.
	Era func() Era
}
