package origin

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lateConn is a connection whose first answer arrives as its request is cancelled, and whose close takes effect late.
type lateConn struct {
	net.Conn
	cancel  context.CancelFunc
	closing chan struct{} // closed when the close has begun
	sent    chan struct{} // receives a value when a request is written
	once    sync.Once
}

func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.cancel()
		<-c.closing
	}
	return n, err
}

func (c *lateConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent <- struct{}{}
	return n, err
}

func (c *lateConn) Close() error {
	c.once.Do(func() {
		<-c.sent // the first request
		close(c.closing)
		select {
		case <-c.sent:
		case <-time.After(100 * time.Millisecond):
		}
	})
	return c.Conn.Close()
}

// TestCancelBesideAnswer guards against a request that is cut although its server is at work, since the connection is
// closed for the previous request, which was cancelled just as its answer arrived.
func TestCancelBesideAnswer(t *testing.T) {
	is := is.New(t)
	b := serve(t, func(n int) string {
		if n > 1 {
			time.Sleep(200 * time.Millisecond) // the close comes before the answer
		}
		return okResponse
	})
	ctx, cancel := context.WithCancel(t.Context())
	first := true
	c := New(Deps{Addr: b.addr, Names: testNames, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil || !first {
			return nc, err
		}
		first = false
		return &lateConn{Conn: nc, cancel: cancel, closing: make(chan struct{}), sent: make(chan struct{}, 2)}, nil
	}})
	defer c.Close()
	resp, err := c.Do(ctx, newRequest("r1"), true)
	is.NoErr(err) // the answer is complete
	is.Equal(resp.Status, 200)
	resp, err = c.Do(t.Context(), newRequest("r2"), false)
	is.NoErr(err)
	is.Equal(resp.Status, 200)
}
