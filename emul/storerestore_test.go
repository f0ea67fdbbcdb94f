package emul

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// TestRestore guards against an emulated store that keeps something of the time after the copy, so that tests of a
// restore would pass although the daemons rely on what a real store has lost.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore(DefaultStoreConfig())
		d, ctx := s.Driver(), t.Context()
		kept, err := d.Grant(ctx, 10*time.Second)
		is.NoErr(err)
		a, err := d.Swap(ctx, "a", 0, []byte("1"), kept)
		is.NoErr(err)
		c := s.Copy()
		lost, err := d.Grant(ctx, 10*time.Second)
		is.NoErr(err)
		_, err = d.Swap(ctx, "a", a.Revision, []byte("2"), lost)
		is.NoErr(err)
		b, err := d.Swap(ctx, "b", 0, nil, lost)
		is.NoErr(err)
		broken := make(chan error)
		go func() {
			_, _, err := d.Follow(ctx, "", b.Position(), time.Minute)
			broken <- err
		}()
		synctest.Wait()
		time.Sleep(9 * time.Second)
		s.Restore(c)
		is.True(errors.Is(<-broken, store.ErrUnavailable))
		is.Equal(s.Era(), store.Era(2))
		is.Equal(s.Peek("a").Data, a.Data)
		is.Equal(s.Peek("a").Revision, a.Revision)
		is.Equal(s.Peek("b").Revision, int64(0))
		_, _, err = d.Follow(ctx, "", store.Position{Era: 2, Revision: b.Revision}, time.Second)
		is.True(errors.Is(err, store.ErrCompacted)) // a revision that the store does not have
		_, _, err = d.Follow(ctx, "", a.Position(), time.Second)
		is.True(errors.Is(err, store.ErrCompacted)) // a revision of another era
		is.True(errors.Is(d.Renew(ctx, lost), store.ErrLeaseLost))

		again, err := d.Grant(ctx, 10*time.Second)
		is.NoErr(err)
		is.Equal(again, lost) // ids and revisions are given out again
		next, err := d.Swap(ctx, "c", 0, nil, 0)
		is.NoErr(err)
		is.Equal(next.Revision, a.Revision+1)
		time.Sleep(11 * time.Second)
		is.Equal(s.Peek("a").Revision, int64(0)) // its lease ran on from the copy
	})
}
