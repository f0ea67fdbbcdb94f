package dedup

import (
	"context"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/quota"
)

// freeHome returns the home of a free key and the list version used to choose it.
func (c *Client) freeHome(ctx context.Context, key Scope, refresh bool) (ident.Addr, uint64, error) {
	l, err := c.d.List(ctx, key.Service, refresh)
	if err != nil {
		return "", 0, fmt.Errorf("list of holders of %s: %w", key.Service, err)
	}
	home := quota.FirstRanked(key.homeKey(), l.Holders)
	if home == "" {
		return "", 0, fmt.Errorf("service %s has no holders", key.Service)
	}
	return home, l.Version, nil
}
