package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCrashOf guards against the calls of one crash counting as several crashes, and against two crashes of a backend
// server counting as one.
func TestCrashOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newSuspectQueue()
		first := q.crashOf("a", 7)
		time.Sleep(3 * time.Second) // a broken connection waits for the announcement of the next process
		is.Equal(q.crashOf("a", 7), first)
		time.Sleep(time.Second)
		second := q.crashOf("a", 7)
		is.True(second != first)
		is.True(newSuspectQueue().crashOf("a", 8) != first) // the daemon was restarted
	})
}
