package link

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// slowConn is a connection over a narrow network: a read returns at most 10 KB after 10 ms.
type slowConn struct{ net.Conn }

func (c slowConn) Read(b []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return c.Conn.Read(b[:min(len(b), 10<<10)]) //nolint:wrapcheck // a reader passes errors on
}

// TestLargeAnswerOverNarrowNetwork guards against a link that is closed, with the loss of all its calls, while a large
// answer arrives slowly.
func TestLargeAnswerOverNarrowNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := net.Pipe()
		caller := New(slowConn{a}, Handlers{})
		other := New(b, Handlers{Call: func(_ context.Context, _ *Conn, body []byte) []byte {
			if string(body) == "large" {
				return make([]byte, 7<<20) // takes 7 s
			}
			time.Sleep(time.Second)
			return []byte("ran")
		}})
		var served sync.WaitGroup
		for _, c := range []*Conn{caller, other} {
			served.Go(func() { _ = c.Serve() })
		}
		defer served.Wait()
		defer caller.Close()
		small := make(chan error, 1)
		go func() {
			_, err := caller.Call(t.Context(), []byte("small"), nil)
			small <- err
		}()
		got, err := caller.Call(t.Context(), []byte("large"), nil)
		is.NoErr(err)
		is.Equal(len(got), 7<<20)
		is.NoErr(<-small)
	})
}
