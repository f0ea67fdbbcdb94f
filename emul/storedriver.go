package emul

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// errNoAnswer marks a write whose answer is never sent; its caller waits until its context ends.
var errNoAnswer = errors.New("no answer")

// Driver returns a driver that calls s directly. It knows the store's era from the answers to its own calls.
func (s *Store) Driver() store.Driver {
	var eras store.EraTracker
	answered := func(err error) error {
		if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrLeaseLost) || errors.Is(err, store.ErrCompacted) {
			eras.Observe(s.Era())
		}
		return err
	}
	return store.Driver{
		Get: func(ctx context.Context, key string) (store.Value, error) {
			v, err := s.get(ctx, key)
			return v, answered(err)
		},
		List: func(ctx context.Context, prefix string) ([]store.Value, error) {
			vs, err := s.list(ctx, prefix)
			return vs, answered(err)
		},
		Swap: func(ctx context.Context, key string, revision int64, data []byte, id store.LeaseID) (store.Value, error) {
			v, err := s.swap(ctx, key, revision, data, id)
			return v, answered(err)
		},
		Delete: func(ctx context.Context, key string, revision int64) error {
			return answered(s.deleteKey(ctx, key, revision))
		},
		Grant: func(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
			id, err := s.grantLease(ctx, ttl)
			return id, answered(err)
		},
		Renew:  func(ctx context.Context, id store.LeaseID) error { return answered(s.renewLease(ctx, id)) },
		Revoke: func(ctx context.Context, id store.LeaseID) error { return answered(s.revokeLease(ctx, id)) },
		Watch: func(ctx context.Context, key string, after store.Position) (store.Value, error) {
			v, err := s.watch(ctx, key, after)
			return v, answered(err)
		},
		Snapshot: func(ctx context.Context, prefix string) ([]store.Value, store.Position, error) {
			vs, from, err := s.snapshot(ctx, prefix)
			return vs, from, answered(err)
		},
		Follow: func(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Change, store.Position, error) {
			cs, next, err := s.follow(ctx, prefix, after, wait)
			return cs, next, answered(err)
		},
		Era: eras.Era,
	}
}

func (s *Store) get(ctx context.Context, key string) (store.Value, error) {
	if err := s.admit(ctx, "Get", s.reads); err != nil {
		return store.Value{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value(key, s.keys[key]), nil
}

func (s *Store) list(ctx context.Context, prefix string) ([]store.Value, error) {
	if err := s.admit(ctx, "List", s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Value
	for k, e := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, s.value(k, e))
		}
	}
	slices.SortFunc(out, func(a, b store.Value) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

func (s *Store) swap(ctx context.Context, key string, revision int64, data []byte, id store.LeaseID) (store.Value, error) {
	if len(data) > s.cfg.MaxValue {
		return store.Value{}, fmt.Errorf("%w: %d bytes", store.ErrTooLarge, len(data))
	}
	data = slices.Clone(data)
	return write(ctx, s, "Swap", key, func() (store.Value, error) {
		cur := s.value(key, s.keys[key])
		if cur.Revision != revision {
			return cur, fmt.Errorf("%w: key %s is at revision %d, not %d", store.ErrConflict, key, cur.Revision, revision)
		}
		if _, ok := s.leases[id]; id != 0 && !ok {
			return store.Value{}, fmt.Errorf("%w: lease %s", store.ErrLeaseLost, id)
		}
		return s.put(key, data, id), nil
	})
}

func (s *Store) deleteKey(ctx context.Context, key string, revision int64) error {
	_, err := write(ctx, s, "Delete", key, func() (struct{}, error) {
		cur := s.keys[key].revision
		if revision != 0 && cur != revision {
			return struct{}{}, fmt.Errorf("%w: key %s is at revision %d, not %d", store.ErrConflict, key, cur, revision)
		}
		if cur != 0 {
			s.remove(key)
		}
		return struct{}{}, nil
	})
	return err
}

func (s *Store) grantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return write(ctx, s, "Grant", "", func() (store.LeaseID, error) {
		return s.grant(ttl), nil
	})
}

func (s *Store) renewLease(ctx context.Context, id store.LeaseID) error {
	_, err := write(ctx, s, "Renew", id.String(), func() (struct{}, error) {
		return struct{}{}, s.renew(id)
	})
	return err
}

func (s *Store) revokeLease(ctx context.Context, id store.LeaseID) error {
	_, err := write(ctx, s, "Revoke", id.String(), func() (struct{}, error) {
		return struct{}{}, s.revoke(id)
	})
	return err
}

func (s *Store) watch(ctx context.Context, key string, after store.Position) (store.Value, error) {
	if err := s.admit(ctx, "Watch", s.reads); err != nil {
		return store.Value{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching++
	defer func() { s.watching-- }()
	era := s.era
	for {
		if s.era != era {
			return store.Value{}, fmt.Errorf("%w: watch broken", store.ErrUnavailable)
		}
		if s.outage == NoOutage {
			if cur := s.value(key, s.keys[key]); after.IsPassedBy(cur) {
				return cur, nil
			}
		}
		if err := s.wait(ctx, key); err != nil {
			return store.Value{}, err
		}
	}
}

// wait blocks until key changes. It fails in a Rejecting outage, even if that started before the
// call, and at the end of a Silent outage, when the broken connection of the watch is detected.
// The caller holds mu.
func (s *Store) wait(ctx context.Context, key string) error {
	if s.outage == Rejecting {
		return fmt.Errorf("%w: watch broken", store.ErrUnavailable)
	}
	changed, outage, before := s.waiter(key), s.outageChanged, s.outage
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-outage:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage == Silent && before == NoOutage {
		return nil
	}
	return fmt.Errorf("%w: watch broken", store.ErrUnavailable)
}

// admit counts a call and delays it by the rate limit and the configured delay. It fails if the
// queue time would be exceeded or in a Rejecting outage. A Silent outage blocks it until ctx ends.
func (s *Store) admit(ctx context.Context, call string, limiter *rate.Limiter) error {
	s.mu.Lock()
	s.counts[call]++
	slow := s.delay
	s.mu.Unlock()
	r := limiter.Reserve()
	if r.Delay() > s.cfg.QueueTime {
		r.Cancel()
		return fmt.Errorf("%w: too many requests", store.ErrUnavailable)
	}
	if d := r.Delay() + slow; d > 0 && !delay.Sleep(ctx, d) {
		return ctx.Err()
	}
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	switch outage {
	case Rejecting:
		return fmt.Errorf("%w: rejecting outage", store.ErrUnavailable)
	case Silent:
		<-ctx.Done()
		return fmt.Errorf("silent outage: %w", ctx.Err())
	}
	return ctx.Err()
}

// write runs f with mu held and applies the first injected fault that matches the key.
func write[T any](ctx context.Context, s *Store, call, key string, f func() (T, error)) (T, error) {
	var zero T
	if err := s.admit(ctx, call, s.writes); err != nil {
		return zero, err
	}
	s.mu.Lock()
	before := s.beforeWrite
	var ft fault
	if i := slices.IndexFunc(s.faults, func(f fault) bool { return f.key == "" || f.key == key }); i >= 0 {
		ft = s.faults[i]
		s.faults = slices.Delete(s.faults, i, i+1)
	}
	s.mu.Unlock()
	if before != nil {
		before(call, key)
	}
	run := func() (T, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		return f()
	}
	switch ft.answer {
	case Broken:
		_, _ = run()
		return zero, fmt.Errorf("%w: connection broken", store.ErrUnknown)
	case Missing:
		_, _ = run()
		<-ctx.Done()
		return zero, fmt.Errorf("%w: %w: %w", store.ErrUnknown, errNoAnswer, ctx.Err())
	case Late:
		return runLate(ctx, ft.delay, run)
	}
	return run()
}

// runLate runs f after d, even if the caller no longer waits for the answer.
func runLate[T any](ctx context.Context, d time.Duration, f func() (T, error)) (T, error) {
	type result struct {
		v   T
		err error
	}
	done := make(chan result, 1)
	time.AfterFunc(d, func() {
		v, err := f()
		done <- result{v, err}
	})
	select {
	case r := <-done:
		return r.v, r.err
	case <-ctx.Done():
		var zero T
		return zero, fmt.Errorf("%w: %w: %w", store.ErrUnknown, errNoAnswer, ctx.Err())
	}
}
