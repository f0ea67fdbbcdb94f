package link

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connPair returns two connected Conns over TCP; the second handles calls with h.
func connPair(t *testing.T, h Handlers) (*Conn, *Conn) {
	t.Helper()
	a, b := tcpPair(t)
	ca, cb := New(a, Handlers{}), New(b, h)
	go func() { _ = ca.Serve() }()
	go func() { _ = cb.Serve() }()
	t.Cleanup(func() { ca.Close(); cb.Close() })
	return ca, cb
}

func tcpPair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	a, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	b, err := ln.Accept()
	is.NoErr(err)
	return a, b
}

// TestCallsAreAnsweredInAnyOrder guards against answers that are delivered to another call.
func TestCallsAreAnsweredInAnyOrder(t *testing.T) {
	is := is.New(t)
	slow := make(chan struct{})
	c, _ := connPair(t, Handlers{Call: func(_ context.Context, _ *Conn, body []byte) []byte {
		if string(body) == "slow" {
			<-slow
		}
		return []byte("answer to " + string(body))
	}})
	first := make(chan string, 1)
	go func() {
		b, err := c.Call(t.Context(), []byte("slow"), nil)
		if err != nil {
			b = []byte(err.Error())
		}
		first <- string(b)
	}()
	b, err := c.Call(t.Context(), []byte("fast"), nil)
	is.NoErr(err)
	is.Equal(string(b), "answer to fast")
	close(slow)
	is.Equal(<-first, "answer to slow")
}

// TestCancelReachesTheHandler guards against requests that keep running after the caller has disconnected,
// and against reporting the outcome as unknown although the other daemon knows it.
func TestCancelReachesTheHandler(t *testing.T) {
	is := is.New(t)
	c, _ := connPair(t, Handlers{Call: func(ctx context.Context, _ *Conn, _ []byte) []byte {
		<-ctx.Done()
		return []byte("did not run")
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	b, err := c.Call(ctx, []byte("x"), nil)
	is.NoErr(err)
	is.Equal(string(b), "did not run")
}

// TestErrors guards against reporting a call as not sent although it may have arrived.
func TestErrors(t *testing.T) {
	tests := map[string]struct {
		want error
		end  func(caller, other *Conn)
	}{
		"other side ends after it got the call": {ErrLost, func(_, o *Conn) { o.Close() }},
		"own side ends after the call was sent": {ErrLost, func(c, _ *Conn) { c.Close() }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := make(chan struct{})
			c, o := connPair(t, Handlers{Call: func(ctx context.Context, _ *Conn, _ []byte) []byte {
				close(got)
				<-ctx.Done()
				return nil
			}})
			go func() { <-got; tt.end(c, o) }()
			_, err := c.Call(t.Context(), []byte("x"), nil)
			is.True(errors.Is(err, tt.want))
		})
	}
	t.Run("closed before", func(t *testing.T) {
		is := is.New(t)
		c, _ := connPair(t, Handlers{})
		c.Close()
		_, err := c.Call(t.Context(), []byte("x"), nil)
		is.True(errors.Is(err, ErrNotSent))
	})
}

// TestSilence guards against calls that wait for a daemon that disappeared without closing its connections,
// and against giving up a long call although its daemon is running.
func TestSilence(t *testing.T) {
	t.Run("dead", func(t *testing.T) {
		is := is.New(t)
		a, _ := tcpPair(t) // the other end is never read
		c := New(a, Handlers{})
		go func() { _ = c.Serve() }()
		defer c.Close()
		waiting := make(chan error, 2)
		ctx, cancel := context.WithTimeout(t.Context(), silenceTimeout+600*time.Millisecond)
		defer cancel()
		began := time.Now()
		silent := make(chan time.Duration, 2)
		for _, f := range []func(){nil, func() { silent <- time.Since(began) }} {
			go func() {
				_, err := c.Call(ctx, []byte("x"), f)
				waiting <- err
			}()
		}
		after := <-silent
		is.True(after >= silenceTimeout)
		is.True(after < silenceTimeout+2*silenceCheckInterval)
		is.True(c.Silent())
		is.Equal(ctx.Err(), nil) // both calls go on
		is.Equal(len(waiting), 0)
		for range 2 {
			is.True(errors.Is(<-waiting, ErrLost))
		}
		is.True(ctx.Err() != nil) // they waited until ctx was done
		is.Equal(len(silent), 0)
	})
	t.Run("alive", func(t *testing.T) {
		is := is.New(t)
		c, _ := connPair(t, Handlers{Call: func(context.Context, *Conn, []byte) []byte {
			time.Sleep(silenceTimeout + 500*time.Millisecond)
			return []byte("late but there")
		}})
		b, err := c.Call(t.Context(), []byte("x"), func() { t.Error("silent") })
		is.NoErr(err)
		is.Equal(string(b), "late but there")
		is.True(!c.Silent())
	})
}

// TestNoticesKeepTheirOrder guards against an older state that overwrites a newer one.
func TestNoticesKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	var seen []string
	done := make(chan struct{})
	c, _ := connPair(t, Handlers{Notice: func(_ *Conn, b []byte) {
		if seen = append(seen, string(b)); len(seen) == 3 {
			close(done)
		}
	}})
	for _, s := range []string{"1", "2", "3"} {
		c.Notify([]byte(s))
	}
	<-done
	is.Equal(strings.Join(seen, ""), "123")
}

// TestBlockedWriterBlocksNoCaller guards against calls that hang on a daemon that does not read.
func TestBlockedWriterBlocksNoCaller(t *testing.T) {
	is := is.New(t)
	a, _ := tcpPair(t)
	c := New(a, Handlers{})
	go func() { _ = c.Serve() }()
	defer c.Close()
	var ended atomic.Int32
	done := make(chan struct{})
	for range 20 {
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, _ = c.Call(ctx, make([]byte, 1<<20), nil)
			if ended.Add(1) == 20 {
				close(done)
			}
		}()
	}
	select {
	case <-done:
	case <-time.After(2 * time.Second):
		t.Errorf("only %d of 20 callers returned", ended.Load())
	}
	is.True(c.Waiting() == 0)
}
