package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Snapshot returns the values whose keys have the prefix, and the position to pass to Follow.
func (c *Client) Snapshot(ctx context.Context, prefix string) ([]Value, Position, error) {
	type result struct {
		values []Value
		after  Position
	}
	r, err := call(ctx, c, opSnapshot, prefix, func(ctx context.Context) (r result, err error) {
		r.values, r.after, err = c.Driver.Snapshot(ctx, prefix)
		return r, err
	})
	return r.values, r.after, err
}

// Follow returns the changes of keys with the prefix after a position, or none if there is no change
// within wait. ErrCompacted means that the whole state has to be read. ErrUnavailable means that the
// store did not answer within Config.WatchPeriod, which must be longer than wait.
func (c *Client) Follow(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Change, Position, error) {
	type result struct {
		changes []Change
		after   Position
	}
	r, err := call(ctx, c, opWatch, prefix, func(ctx context.Context) (r result, err error) {
		r.changes, r.after, err = c.Driver.Follow(ctx, prefix, after, wait)
		return r, err
	})
	if errors.Is(err, errWatchPeriod) {
		err = fmt.Errorf("%w: no answer to a watch of %s", ErrUnavailable, prefix)
	}
	return r.changes, r.after, err
}

// Era returns the highest era of the store in an answer so far; zero if the store does not state it.
func (c *Client) Era() Era {
	if c.Driver.Era == nil {
		return 0
	}
	return c.Driver.Era()
}
