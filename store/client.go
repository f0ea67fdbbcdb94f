package store

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Client calls the store with a rate limit per role, deadlines, retries with backoff and a circuit
// breaker. Its methods are safe for concurrent use and correspond to the fields of Driver. A write
// that is not idempotent is not retried when its answer is lost; it returns ErrUnknown.
type Client struct {
	*shared
	role    Role
	limiter *budgetLimiter
}

// shared is the state that the Clients of all roles share.
type shared struct {
	Deps
	breaker  breaker
	watching atomic.Int64

	mu     sync.Mutex
	byRole map[Role]*Client
}

// New returns a Client for RoleDaemon. Use As to get the Clients of the other roles.
func New(d Deps) *Client {
	c := &shared{
		Deps:    d,
		breaker: breaker{maxFailures: d.Config.OpenAfter, openFor: d.Config.OpenFor},
		byRole:  map[Role]*Client{},
	}
	return c.As(RoleDaemon)
}

// As returns the Client for role, which has a budget of its own and shares the circuit breaker,
// counters and settings.
func (c *shared) As(role Role) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cl, ok := c.byRole[role]; ok {
		return cl
	}
	b, ok := c.Config.Budgets[role]
	if !ok {
		b = c.Config.Budget
	}
	cl := &Client{shared: c, role: role, limiter: newBudgetLimiter(b)}
	c.byRole[role] = cl
	return cl
}

// CircuitOpen reports whether the circuit breaker is open after repeated failures.
func (c *Client) CircuitOpen() bool { return c.breaker.isOpen() }

// Get returns the value of key, with Revision 0 if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	return call(ctx, c, opGet, key, func(ctx context.Context) (Value, error) {
		return c.Driver.Get(ctx, key)
	})
}

// List returns the values whose keys have the prefix, ordered by key.
func (c *Client) List(ctx context.Context, prefix string) ([]Value, error) {
	return call(ctx, c, opList, prefix, func(ctx context.Context) ([]Value, error) {
		return c.Driver.List(ctx, prefix)
	})
}

// StaleList is List, but the result may be seconds old.
func (c *Client) StaleList(ctx context.Context, prefix string) ([]Value, error) {
	list := c.Driver.StaleList
	if list == nil {
		list = c.Driver.List
	}
	return call(ctx, c, opStaleList, prefix, func(ctx context.Context) ([]Value, error) { return list(ctx, prefix) })
}

// Swap writes data if key is at revision, else it returns the current value with ErrConflict.
func (c *Client) Swap(ctx context.Context, key string, revision int64, data []byte, lease LeaseID) (Value, error) {
	return call(ctx, c, opSwap, key, func(ctx context.Context) (Value, error) {
		return c.Driver.Swap(ctx, key, revision, data, lease)
	})
}

// Delete deletes key if it is at revision; revision 0 matches any.
func (c *Client) Delete(ctx context.Context, key string, revision int64) error {
	_, err := call(ctx, c, opDelete, key, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, c.Driver.Delete(ctx, key, revision)
	})
	return err
}

// Grant creates a lease. After ErrUnknown the store may hold a lease that nobody owns until its ttl
// expires.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	return call(ctx, c, opGrant, ttl.String(), func(ctx context.Context) (LeaseID, error) {
		return c.Driver.Grant(ctx, ttl)
	})
}

// Renew extends a lease. The caller must count the ttl from the time before the call.
func (c *Client) Renew(ctx context.Context, id LeaseID) error {
	_, err := call(ctx, c, opRenew, id.String(), func(ctx context.Context) (struct{}, error) {
		return struct{}{}, c.Driver.Renew(ctx, id)
	})
	return err
}

// Revoke ends a lease. After a retry, ErrLeaseLost may mean that an earlier attempt has ended it.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	_, err := call(ctx, c, opRevoke, id.String(), func(ctx context.Context) (struct{}, error) {
		return struct{}{}, c.Driver.Revoke(ctx, id)
	})
	return err
}

// Watch blocks until key is written after a position or, if its revision is above 0, until key is
// deleted or the store is in another era; the returned value may then have a lower revision. It
// sends the watch again after each WatchPeriod, which limits how long a connection that no longer
// delivers events can hide a change.
func (c *Client) Watch(ctx context.Context, key string, after Position) (Value, error) {
	c.Stats.Gauge("Store.Watching", c.watching.Add(1))
	defer func() { c.Stats.Gauge("Store.Watching", c.watching.Add(-1)) }()
	for {
		v, err := call(ctx, c, opWatch, key, func(ctx context.Context) (Value, error) {
			return c.Driver.Watch(ctx, key, after)
		})
		if !errors.Is(err, errWatchPeriod) {
			return v, err
		}
	}
}
