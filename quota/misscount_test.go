package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Guards against a demand that seems ten times as high with one exchange per second as with
// one per 100 ms.
func TestUnmetCounterDoesNotGrowWithTheInterval(t *testing.T) {
	is := is.New(t)
	var c unmetCounter
	at := time.Hour
	for range 100 { // one call per 10 ms
		at += FastSyncInterval / 10
		c.add(at)
	}
	is.True(c.peak() <= 10)
	is.True(c.takePeak(at) >= 9)
	is.Equal(c.takePeak(at), ident.Units(0))
}

// Guards against reporting demand that has ended.
func TestUnmetCounterDropsOldCalls(t *testing.T) {
	is := is.New(t)
	var c unmetCounter
	c.add(time.Hour)
	is.Equal(c.takePeak(time.Hour+2*FastSyncInterval), ident.Units(0))
}
