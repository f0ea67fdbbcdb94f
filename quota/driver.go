package quota

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// LeaseID identifies a lease in the store. Zero means no lease.
type LeaseID int64

// Value is the value of a key in the store. Revision 0 means that the key does not exist.
type Value struct {
	Data     []byte
	Revision int64
}

// Driver holds the store operations that the keeper uses. Swap writes data if the key still
// has the given revision. After a failed Swap the keeper determines the outcome with Get, so
// it need not distinguish errors.
type Driver struct {
	Get    func(ctx context.Context, key string) (Value, error)
	Swap   func(ctx context.Context, key string, revision int64, data []byte, lease LeaseID) (Value, error)
	Grant  func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew  func(ctx context.Context, id LeaseID) error
	Revoke func(ctx context.Context, id LeaseID) error
	// Era returns how often the store came back from a copy, as it stated in its answers so far; zero if it states
	// nothing. What was written since the copy is lost then, and revisions and lease ids are given out again. Nil: zero.
	Era func() uint64
}

// Call sends a request to another daemon and decodes its answer into out.
type Call func(ctx context.Context, addr ident.Addr, t wire.Type, in, out any) error
