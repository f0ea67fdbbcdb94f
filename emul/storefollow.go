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

func (s *Store) snapshot(ctx context.Context, prefix string) ([]store.Value, store.Position, error) {
	s.mu.Lock()
	from := s.position()
	s.mu.Unlock()
	values, err := s.list(ctx, prefix)
	if err == nil && s.Era() != from.Era {
		return nil, from, fmt.Errorf("%w: restored during the read", store.ErrUnavailable)
	}
	return values, from, err
}

func (s *Store) follow(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Change, store.Position, error) {
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
		if after.Era != s.era || after.Revision < s.compacted || after.Revision > s.revision {
			return nil, after, fmt.Errorf("%w: %s", store.ErrCompacted, after)
		}
		if out := s.changesSince(prefix, after.Revision); len(out) > 0 && s.outage == NoOutage {
			return out, s.position(), nil
		}
		changed, outage, now := s.waiter(anyKey), s.outageChanged, s.position()
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
			return nil, now, err
		}
	}
}

// changesSince returns the changes after a revision of the keys with the prefix. The caller holds mu.
func (s *Store) changesSince(prefix string, after int64) []store.Change {
	var out []store.Change
	for _, c := range s.log {
		if c.entry.revision > after && strings.HasPrefix(c.key, prefix) {
			out = append(out, store.Change{
				Value: store.Value{Key: c.key, Data: slices.Clone(c.entry.data), Revision: c.entry.revision, Era: s.era}, Deleted: c.deleted,
			})
		}
	}
	return out
}
