package link

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestQueuedBytes guards against frames that wait to be written and are not counted as memory in use, or still are after
// the connection has closed.
func TestQueuedBytes(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe() // nothing is read from far
	defer far.Close()
	var queued atomic.Int64
	c := New(near, Handlers{Queued: func(n int64) { queued.Add(n) }})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = c.Serve()
	}()
	for range 3 {
		is.True(c.Notify(make([]byte, 1<<20)))
	}
	is.True(queued.Load() >= 2<<20) // one of them is being written
	c.Close()
	<-served
	is.Equal(queued.Load(), int64(0))
}
