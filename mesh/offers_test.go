package mesh

import (
	"testing"

	"github.com/matryer/is"
)

// TestOffers guards against a wave in which every call offers itself to servers that are all full before it waits
// for one, and against a service that gets no offers again after it.
func TestOffers(t *testing.T) {
	const usual, trial = 0.5, 0.05 // random numbers of a usual call and of one that tries
	is := is.New(t)
	var o offers
	is.True(o.worthwhile("s", usual))
	for range 30 {
		o.add("s", false)
	}
	is.True(!o.worthwhile("s", usual))
	is.True(o.worthwhile("s", trial))
	is.True(o.worthwhile("other", usual))
	for range 30 {
		o.add("s", true)
	}
	is.True(o.worthwhile("s", usual))
}
