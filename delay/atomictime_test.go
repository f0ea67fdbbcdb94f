package delay_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/delay"
)

// TestAtomicTime guards against elapsed times that change when the time of day is set: the stored time has to keep its
// reading of the monotonic clock, which String prints.
func TestAtomicTime(t *testing.T) {
	is := is.New(t)
	var a delay.AtomicTime
	is.True(a.Load().IsZero())
	now := time.Now()
	a.Store(now)
	is.Equal(a.Load(), now)
	is.True(strings.Contains(a.Load().String(), " m="))
}
