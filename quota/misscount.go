package quota

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// unmetCounter counts the calls over a limit in the current and the previous window of
// FastSyncInterval. A count since the last Sync would grow with the interval between
// exchanges: a holder with few exchanges would ask for more units than one with many.
type unmetCounter struct {
	current, previous int32
	start             time.Duration // of the current window, on the monotonic clock
}

// add counts a call at the given time.
func (c *unmetCounter) add(at time.Duration) {
	c.advance(at)
	c.current++
}

// advance starts a new window if the current one has ended.
func (c *unmetCounter) advance(at time.Duration) {
	since := at - c.start
	if since < FastSyncInterval {
		return
	}
	c.previous = 0
	if since < 2*FastSyncInterval {
		c.previous = c.current
	}
	c.current, c.start = 0, at
}

// peak returns the higher count of the two windows.
func (c *unmetCounter) peak() ident.Units { return ident.Units(max(c.current, c.previous)) }

// takePeak returns the higher count at the given time and resets the counter.
func (c *unmetCounter) takePeak(at time.Duration) ident.Units {
	c.advance(at)
	n := c.peak()
	*c = unmetCounter{start: at}
	return n
}
