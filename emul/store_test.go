package emul

import (
	"context"
	"errors"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// drivers holds the kinds of drivers for a Store. All have to fulfil the contract of store.Driver.
var drivers = map[string]func(t *testing.T, s *Store) store.Driver{
	"in process": func(_ *testing.T, s *Store) store.Driver { return s.Driver() },
	"HTTP": func(t *testing.T, s *Store) store.Driver {
		srv := httptest.NewServer(s.Handler())
		t.Cleanup(srv.CloseClientConnections)
		t.Cleanup(srv.Close)
		return store.NewHTTP(srv.URL, srv.Client())
	},
}

// contract holds the properties that users of a Driver rely on.
var contract = map[string]func(t *testing.T, s *Store, d store.Driver){
	"absent key has revision 0": func(t *testing.T, _ *Store, d store.Driver) {
		is := is.New(t)
		v, err := d.Get(t.Context(), "a")
		is.NoErr(err)
		is.Equal(v, store.Value{Key: "a", Era: 1})
	},
	"swap of an outdated revision writes nothing and returns the current value": func(t *testing.T, _ *Store, d store.Driver) {
		is := is.New(t)
		first, err := d.Swap(t.Context(), "a", 0, []byte("1"), 0)
		is.NoErr(err)
		second, err := d.Swap(t.Context(), "a", first.Revision, []byte("2"), 0)
		is.NoErr(err)
		is.True(second.Revision > first.Revision)
		for _, revision := range []int64{0, first.Revision} {
			cur, err := d.Swap(t.Context(), "a", revision, []byte("3"), 0)
			is.True(errors.Is(err, store.ErrConflict))
			is.Equal(cur, second)
		}
	},
	"swap of an absent key at a revision conflicts": func(t *testing.T, _ *Store, d store.Driver) {
		is := is.New(t)
		cur, err := d.Swap(t.Context(), "a", 7, nil, 0)
		is.True(errors.Is(err, store.ErrConflict))
		is.Equal(cur.Revision, int64(0))
	},
	"a key written again after its deletion has a higher revision": func(t *testing.T, _ *Store, d store.Driver) {
		is := is.New(t)
		first, err := d.Swap(t.Context(), "a", 0, []byte("1"), 0)
		is.NoErr(err)
		is.NoErr(d.Delete(t.Context(), "a", first.Revision))
		second, err := d.Swap(t.Context(), "a", 0, []byte("2"), 0)
		is.NoErr(err)
		is.True(second.Revision > first.Revision+1)
	},
	"delete of an outdated revision deletes nothing": func(t *testing.T, _ *Store, d store.Driver) {
		is := is.New(t)
		v, err := d.Swap(t.Context(), "a", 0, []byte("1"), 0)
		is.NoErr(err)
		is.True(errors.Is(d.Delete(t.Context(), "a", v.Revision+1), store.ErrConflict))
		is.NoErr(d.Delete(t.Context(), "a", 0))
		is.NoErr(d.Delete(t.Context(), "a", 0)) // absent keys are accepted
		is.True(errors.Is(d.Delete(t.Context(), "a", v.Revision), store.ErrConflict))
	},
	"list returns the keys of the prefix only, in order": func(t *testing.T, _ *Store, d store.Driver) {
		is := is.New(t)
		for _, k := range []string{"b/2", "b/1", "b", "b0", "a", "b/\xff"} {
			_, err := d.Swap(t.Context(), k, 0, []byte(k), 0)
			is.NoErr(err)
		}
		keys := func(prefix string) []string {
			vs, err := d.List(t.Context(), prefix)
			is.NoErr(err)
			var out []string
			for _, v := range vs {
				is.Equal(string(v.Data), v.Key)
				is.True(v.Revision > 0)
				out = append(out, v.Key)
			}
			return out
		}
		is.Equal(keys("b/"), []string{"b/1", "b/2", "b/\xff"})
		is.Equal(keys("b/\xff"), []string{"b/\xff"})
		is.Equal(len(keys("")), 6)
		is.Equal(len(keys("c")), 0)
	},
	"value above the limit is refused": func(t *testing.T, s *Store, d store.Driver) {
		is := is.New(t)
		_, err := d.Swap(t.Context(), "a", 0, make([]byte, store.MaxValue+1), 0)
		is.True(errors.Is(err, store.ErrTooLarge))
		_, err = d.Swap(t.Context(), "a", 0, make([]byte, store.MaxValue), 0)
		is.NoErr(err)
	},
	"end of a lease deletes its keys": func(t *testing.T, s *Store, d store.Driver) {
		is := is.New(t)
		id, err := d.Grant(t.Context(), 15*time.Second)
		is.NoErr(err)
		_, err = d.Swap(t.Context(), "a", 0, []byte("1"), id)
		is.NoErr(err)
		s.AdvanceClock(14 * time.Second)
		is.NoErr(d.Renew(t.Context(), id))
		s.AdvanceClock(14 * time.Second)
		v, err := d.Get(t.Context(), "a")
		is.NoErr(err)
		is.True(v.Revision > 0) // renewed
		s.AdvanceClock(time.Second)
		v, err = d.Get(t.Context(), "a")
		is.NoErr(err)
		is.Equal(v.Revision, int64(0))
		is.True(errors.Is(d.Renew(t.Context(), id), store.ErrLeaseLost))
		is.True(errors.Is(d.Revoke(t.Context(), id), store.ErrLeaseLost))
		_, err = d.Swap(t.Context(), "a", 0, []byte("1"), id)
		is.True(errors.Is(err, store.ErrLeaseLost))
	},
	"a key written again without its lease survives it": func(t *testing.T, _ *Store, d store.Driver) {
		is := is.New(t)
		id, err := d.Grant(t.Context(), time.Minute)
		is.NoErr(err)
		v, err := d.Swap(t.Context(), "a", 0, []byte("1"), id)
		is.NoErr(err)
		_, err = d.Swap(t.Context(), "a", v.Revision, []byte("2"), 0)
		is.NoErr(err)
		is.NoErr(d.Revoke(t.Context(), id))
		v, err = d.Get(t.Context(), "a")
		is.NoErr(err)
		is.Equal(string(v.Data), "2")
	},
	"watch returns at once if the key has moved on": func(t *testing.T, _ *Store, d store.Driver) {
		is := is.New(t)
		first, err := d.Swap(t.Context(), "a", 0, []byte("1"), 0)
		is.NoErr(err)
		second, err := d.Swap(t.Context(), "a", first.Revision, []byte("2"), 0)
		is.NoErr(err)
		for _, after := range []store.Position{{}, first.Position()} {
			v, err := d.Watch(t.Context(), "a", after)
			is.NoErr(err)
			is.Equal(v, second)
		}
	},
	"watch survives the compaction of older revisions": func(t *testing.T, s *Store, d store.Driver) {
		is := is.New(t)
		first, err := d.Swap(t.Context(), "a", 0, []byte("1"), 0)
		is.NoErr(err)
		second, err := d.Swap(t.Context(), "a", first.Revision, []byte("2"), 0)
		is.NoErr(err)
		s.Compact()
		v, err := d.Watch(t.Context(), "a", first.Position())
		is.NoErr(err)
		is.Equal(v, second)
	},
	"waiting watch sees a write, and then a deletion": func(t *testing.T, s *Store, d store.Driver) {
		is := is.New(t)
		got := startWatch(t, s, d, "a", store.Position{})
		v, err := d.Swap(t.Context(), "a", 0, []byte("1"), 0)
		is.NoErr(err)
		is.Equal((<-got).v, v)
		got = startWatch(t, s, d, "a", v.Position())
		_, err = d.Swap(t.Context(), "other", 0, nil, 0)
		is.NoErr(err)
		is.NoErr(d.Delete(t.Context(), "a", 0))
		is.Equal((<-got).v, store.Value{Key: "a", Era: 1})
	},
	"watch of a deleted key returns at once": func(t *testing.T, _ *Store, d store.Driver) {
		is := is.New(t)
		v, err := d.Swap(t.Context(), "a", 0, []byte("1"), 0)
		is.NoErr(err)
		is.NoErr(d.Delete(t.Context(), "a", 0))
		got, err := d.Watch(t.Context(), "a", v.Position())
		is.NoErr(err)
		is.Equal(got.Revision, int64(0))
	},
	"restored store shows its state to a watch from before": func(t *testing.T, s *Store, d store.Driver) {
		is := is.New(t)
		kept, err := d.Swap(t.Context(), "a", 0, []byte("kept"), 0)
		is.NoErr(err)
		c := s.Copy()
		lost, err := d.Swap(t.Context(), "a", kept.Revision, []byte("lost"), 0)
		is.NoErr(err)
		got := startWatch(t, s, d, "a", lost.Position())
		s.Restore(c)
		is.True((<-got).err != nil)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		v, err := d.Watch(ctx, "a", lost.Position())
		is.NoErr(err)
		is.Equal(string(v.Data), "kept")
		is.Equal(v.Position(), store.Position{Era: 2, Revision: kept.Revision})
		is.Equal(d.Era(), store.Era(2))
		got = startWatch(t, s, d, "a", v.Position())
		again, err := d.Swap(t.Context(), "a", kept.Revision, []byte("again"), 0)
		is.NoErr(err)
		is.Equal((<-got).v, again)
		is.Equal(again.Revision, lost.Revision)
		v, err = d.Watch(ctx, "a", lost.Position())
		is.NoErr(err)
		is.Equal(v, again) // although the store has passed the old revision
	},
	"cancelled watch ends and is no longer counted": func(t *testing.T, s *Store, d store.Driver) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := d.Watch(ctx, "a", store.Position{})
		is.True(errors.Is(err, context.DeadlineExceeded))
		waitFor(t, func() bool { return s.Watching() == 0 })
	},
	"rejecting outage leaves the store unchanged and breaks watches": func(t *testing.T, s *Store, d store.Driver) {
		is := is.New(t)
		got := startWatch(t, s, d, "a", store.Position{})
		s.SetOutage(Rejecting)
		is.True((<-got).err != nil)
		_, err := d.Swap(t.Context(), "a", 0, nil, 0)
		is.True(errors.Is(err, store.ErrUnavailable))
		_, err = d.Get(t.Context(), "a")
		is.True(errors.Is(err, store.ErrUnavailable))
		s.SetOutage(NoOutage)
		is.Equal(s.Keys(""), nil)
	},
	"answer lost after the write is never reported as not run": func(t *testing.T, s *Store, d store.Driver) {
		is := is.New(t)
		s.FailWrites("a", 1, Broken, 0)
		_, err := d.Swap(t.Context(), "a", 0, []byte("1"), 0)
		is.True(errors.Is(err, store.ErrUnknown))
		v, err := d.Get(t.Context(), "a")
		is.NoErr(err)
		is.Equal(string(v.Data), "1")
		s.FailWrites("a", 1, Missing, 0)
		err = d.Delete(cancelledAtWrite(t, s), "a", v.Revision)
		is.True(err != nil && !errors.Is(err, store.ErrUnavailable))
		waitFor(t, func() bool { return len(s.Keys("")) == 0 })
	},
	"late write takes effect after its caller gave up": func(t *testing.T, s *Store, d store.Driver) {
		is := is.New(t)
		s.FailWrites("a", 1, Late, time.Second)
		_, err := d.Swap(cancelledAtWrite(t, s), "a", 0, []byte("1"), 0)
		is.True(err != nil && !errors.Is(err, store.ErrUnavailable))
		is.Equal(s.Keys(""), nil)
		waitFor(t, func() bool { return len(s.Keys("")) == 1 })
	},
}

// cancelledAtWrite returns a context that is cancelled when the next write reaches s. With a deadline,
// the call could end earlier on a busy machine, before the write is sent.
func cancelledAtWrite(t *testing.T, s *Store) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	s.BeforeWrite(func(string, string) { cancel() })
	t.Cleanup(cancel)
	return ctx
}

type watched struct {
	v   store.Value
	err error
}

// startWatch starts a watch and returns once it is waiting in s.
func startWatch(t *testing.T, s *Store, d store.Driver, key string, after store.Position) <-chan watched {
	t.Helper()
	out := make(chan watched, 1)
	go func() {
		v, err := d.Watch(t.Context(), key, after)
		out <- watched{v, err}
	}()
	waitFor(t, func() bool { return s.Watching() == 1 })
	return out
}

func waitFor(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 10 s")
		}
	}
}

func TestDriversFulfilTheContract(t *testing.T) {
	for transport, open := range drivers {
		for name, check := range contract {
			t.Run(transport+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := NewStore(DefaultStoreConfig())
				check(t, s, open(t, s))
			})
		}
	}
}

func TestStoreRejectsCallsAboveItsRate(t *testing.T) {
	is := is.New(t)
	s := NewStore(StoreConfig{ReadRate: 1, WriteRate: 1, Burst: 2, MaxValue: 10})
	d := s.Driver()
	var got []error
	for range 3 {
		_, err := d.Get(t.Context(), "a")
		got = append(got, err)
	}
	is.True(slices.IndexFunc(got, func(err error) bool { return errors.Is(err, store.ErrUnavailable) }) == 2)
	is.Equal(s.Counts()["Get"], int64(3)) // rejected calls are counted, too
}
