package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShutdownBesideUnreadBytes guards against a reset of the connection, which loses answers that have been written,
// because notices of the other daemon have not been read.
func TestShutdownBesideUnreadBytes(t *testing.T) {
	is := is.New(t)
	a, b := tcpPair(t)
	is.NoErr(b.(*net.TCPConn).SetWriteBuffer(1 << 20))
	read, release, got := make(chan struct{}), make(chan struct{}), make(chan struct{}, 10)
	notice := func(*Conn, []byte) {
		got <- struct{}{}
		<-read
	}
	caller := New(a, Handlers{Notice: notice})
	other := New(b, Handlers{Notice: notice, Call: func(context.Context, *Conn, []byte) []byte {
		got <- struct{}{}
		<-release
		return make([]byte, 256<<10)
	}})
	for _, c := range []*Conn{caller, other} {
		go func() { _ = c.Serve() }()
		defer c.Close()
	}
	type result struct {
		body []byte
		err  error
	}
	ended := make(chan result, 1)
	go func() {
		b, err := caller.Call(t.Context(), []byte("x"), nil)
		ended <- result{b, err}
	}()
	<-got
	for range 5 {
		is.True(caller.Notify(make([]byte, 20<<10)))
	}
	is.True(other.Notify([]byte("n")))
	<-got
	<-got // neither daemon reads on
	close(release)
	for other.Unanswered() > 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		other.Shutdown(ctx)
		close(stopped)
	}()
	time.Sleep(20 * time.Millisecond) // for a close
	close(read)
	r := <-ended
	is.NoErr(r.err)
	is.Equal(len(r.body), 256<<10)
	<-stopped
}
