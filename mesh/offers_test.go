package mesh

import (
	"testing"

	"github.com/matryer/is"
)

// TestNoWaitStats guards against overload in which every call makes no-wait attempts at full servers before
// it is queued, and against a service that gets no more no-wait attempts afterwards.
func TestNoWaitStats(t *testing.T) {
	const usual, exploring = 0.5, 0.05 // random numbers of a usual call and of one that explores
	is := is.New(t)
	var o noWaitStats
	is.True(o.shouldTry("s", usual))
	for range 30 {
		o.add("s", false)
	}
	is.True(!o.shouldTry("s", usual))
	is.True(o.shouldTry("s", exploring))
	is.True(o.shouldTry("other", usual))
	for range 30 {
		o.add("s", true)
	}
	is.True(o.shouldTry("s", usual))
}
