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

// slowPair returns two connected Conns; the first one reads over a narrow network. They end with the test.
func slowPair(t *testing.T, h Handlers) (caller, other *Conn) {
	a, b := net.Pipe()
	caller, other = New(slowConn{a}, Handlers{}), New(b, h)
	var served sync.WaitGroup
	for _, c := range []*Conn{caller, other} {
		served.Go(func() { _ = c.Serve() })
	}
	t.Cleanup(served.Wait)
	t.Cleanup(caller.Close)
	return caller, other
}

// TestLargeAnswerOverNarrowNetwork guards against a link that is closed, with the loss of all its calls, while a large
// answer arrives slowly.
func TestLargeAnswerOverNarrowNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller, _ := slowPair(t, Handlers{Call: func(_ context.Context, _ *Conn, body []byte) []byte {
			if string(body) == "large" {
				return make([]byte, 7<<20) // takes 7 s
			}
			time.Sleep(time.Second)
			return []byte("ran")
		}})
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

// TestLargeAnswerIsNoSilence guards against a call that is sent to a second server, and a link that is replaced, because a
// large answer takes long to arrive.
func TestLargeAnswerIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller, _ := slowPair(t, Handlers{Call: func(context.Context, *Conn, []byte) []byte { return make([]byte, 3<<20) }})
		ended := make(chan error, 1)
		go func() {
			_, err := caller.Call(t.Context(), []byte("x"), func() { t.Error("reported as silent") })
			ended <- err
		}()
		time.Sleep(2 * time.Second)
		is.True(caller.Confirm(t.Context(), 150*time.Millisecond, 100*time.Millisecond))
		is.NoErr(<-ended)
		is.Equal(caller.Silent(), false)
	})
}
