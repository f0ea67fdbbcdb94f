package emul

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// TestFollow guards against missed changes of keys with the prefix, and against reporting
// a compacted history as the absence of changes.
func TestFollow(t *testing.T) {
	is := is.New(t)
	s := NewStore(DefaultStoreConfig())
	d := s.Driver()
	ctx := t.Context()
	_, err := d.Swap(ctx, "a/1", 0, []byte("x"), 0)
	is.NoErr(err)
	values, after, err := d.Snapshot(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(values), 1)

	none, next, err := d.Follow(ctx, "a/", after, 10*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(none), 0)

	go func() {
		_, _ = d.Swap(ctx, "b/1", 0, []byte("other"), 0)
		_, _ = d.Swap(ctx, "a/2", 0, []byte("y"), 0)
		_ = d.Delete(ctx, "a/1", 0)
	}()
	seen := map[string]bool{}
	for len(seen) < 2 {
		var changes []store.Change
		changes, next, err = d.Follow(ctx, "a/", next, 5*time.Second)
		is.NoErr(err)
		for _, c := range changes {
			seen[c.Key] = c.Deleted
		}
	}
	is.Equal(seen, map[string]bool{"a/1": true, "a/2": false})

	s.Compact()
	_, _, err = d.Follow(ctx, "a/", store.Position{Era: 1, Revision: 1}, time.Second)
	is.True(errors.Is(err, store.ErrCompacted))
}
