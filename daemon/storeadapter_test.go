package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/fanout"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/store"
)

func newTestAdapter(s *emul.Store) *storeAdapter {
	client := store.New(store.Deps{
		Driver: s.Driver(), Config: store.DefaultConfig(), Stats: stats.New(), Log: event.Discard(), Rand: func() float64 { return 0.5 },
	})
	return &storeAdapter{client: client, root: client.As(store.RoleRoot), keeper: client.As(store.RoleKeeper)}
}

// TestWatchHeadAfterRestore guards against a root that waits for the revision which the store had before it came back
// from a copy, and so misses Versions that are accepted until then.
func TestWatchHeadAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emul.NewStore(emul.DefaultStoreConfig())
		driver := s.Driver()
		write := func(v ident.Version) {
			data, err := json.Marshal(accept.Head{Record: accept.Record{Version: v}})
			is.NoErr(err)
			_, err = driver.Swap(t.Context(), accept.HeadKey, s.Peek(accept.HeadKey).Revision, data, 0)
			is.NoErr(err)
		}
		a := newTestAdapter(s)
		write(1)
		c := s.Copy()
		for range 5 {
			_, err := driver.Grant(t.Context(), time.Minute)
			is.NoErr(err)
			write(2)
		}
		v, _, err := a.watchHead(t.Context(), 0)
		is.NoErr(err)
		is.Equal(v, ident.Version(2))
		s.Restore(c)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		v, _, err = a.watchHead(ctx, 2)
		is.NoErr(err)
		is.Equal(v, ident.Version(1)) // at once, and only once
		time.AfterFunc(100*time.Millisecond, func() { write(3) })
		v, _, err = a.watchHead(ctx, 2)
		is.NoErr(err)
		is.Equal(v, ident.Version(3))
	})
}

// TestForeignLeaseIsKept guards against a root that renews or revokes the lease of another daemon, whose id the store
// gave out again after it came back from a copy. A revoked lease of a keeper would let a second one be elected.
func TestForeignLeaseIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emul.NewStore(emul.DefaultStoreConfig())
		a, driver := newTestAdapter(s), s.Driver()
		c := s.Copy()
		lease, err := a.acquireRoot(t.Context(), "riga", "10.0.0.1:7001", fanout.RootLease{})
		is.NoErr(err)
		s.Restore(c)
		id, err := driver.Grant(t.Context(), rootLeaseTTL)
		is.NoErr(err)
		is.Equal(int64(id), lease.Lease)
		_, err = driver.Swap(t.Context(), "keeper/s", 0, nil, id)
		is.NoErr(err)
		_, err = a.readRoot(t.Context(), "riga")
		is.NoErr(err)
		is.True(errors.Is(a.fanout().RenewRoot(t.Context(), lease), store.ErrLeaseLost))
		is.True(errors.Is(a.fanout().ReleaseRoot(t.Context(), lease), store.ErrLeaseLost))
		is.True(s.Peek("keeper/s").Revision > 0)
		time.Sleep(rootLeaseTTL + time.Second)
		is.Equal(s.Peek("keeper/s").Revision, int64(0)) // its own daemon did not renew it
	})
}
