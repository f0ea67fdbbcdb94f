package emul

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// anyKey is the key in Store.waiters for callers that wait for a change of any key. It is not a
// valid key of the store.
const anyKey = ""

func (s *Store) snapshot(ctx context.Context, prefix string) ([]store.Value, int64, error) {
	s.mu.Lock()
	from := s.revision
	s.mu.Unlock()
	values, err := s.list(ctx, prefix)
	return values, from, err
}

func (s *Store) follow(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	if err := s.admit(ctx, "Watch", s.reads); err != nil {
		return nil, after, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching++
	defer func() { s.watching-- }()
	era := s.era
	for {
		if s.outage == Rejecting || s.era != era {
			return nil, after, fmt.Errorf("%w: watch broken", store.ErrUnavailable)
		}
		if after < s.compacted || after > s.revision {
			return nil, after, fmt.Errorf("%w: %d", store.ErrCompacted, after)
		}
		if out := s.changesSince(prefix, after); len(out) > 0 && s.outage == NoOutage {
			return out, s.revision, nil
		}
		changed, outage, now := s.waiter(anyKey), s.outageChanged, s.revision
		s.mu.Unlock()
		var err error
		timedOut := false
		select {
		case <-changed:
		case <-outage:
		case <-end.C:
			timedOut = true
		case <-ctx.Done():
			err = ctx.Err()
		}
		s.mu.Lock()
		if err != nil || timedOut {
			return nil, max(after, now), err
		}
	}
}

// changesSince returns the changes after a revision of the keys with the prefix. The caller holds mu.
func (s *Store) changesSince(prefix string, after int64) []store.Change {
	var out []store.Change
	for _, c := range s.log {
		if c.entry.revision > after && strings.HasPrefix(c.key, prefix) {
			out = append(out, store.Change{
				Value: store.Value{Key: c.key, Data: slices.Clone(c.entry.data), Revision: c.entry.revision}, Deleted: c.deleted,
			})
		}
	}
	return out
}
