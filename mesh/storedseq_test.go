package mesh

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestStoredSeqWaits guards against an acknowledgement before the entry is written, and against one that waits for
// more than its own change.
func TestStoredSeqWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStoredSeq()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { s.set(4) })
		time.AfterFunc(200*time.Millisecond, func() { s.set(6) })
		time.AfterFunc(300*time.Millisecond, func() { s.set(5) }) // of a write that was overtaken
		is.True(s.wait(ctx, 5))
		is.Equal(time.Since(began), 200*time.Millisecond)
		is.True(s.wait(ctx, 6))
		is.Equal(time.Since(began), 200*time.Millisecond)
		is.True(!s.wait(ctx, 7))
		is.Equal(time.Since(began), time.Second)
	})
}
