package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

type echo struct{ Text string }

func echoHandler(_ context.Context, _ *Conn, t Type, body []byte) ([]byte, error) {
	if t == "Fail" {
		return nil, errors.New("no")
	}
	return body, nil
}

func connPair(a, b Handler) (*Conn, *Conn) {
	x, y := net.Pipe()
	ca, cb := NewConn(x, a), NewConn(y, b)
	go func() { _ = ca.Serve() }()
	go func() { _ = cb.Serve() }()
	return ca, cb
}

func TestCallsMatchReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// The first request is answered last, so that the replies arrive out of order.
		slow := func(_ context.Context, _ *Conn, _ Type, body []byte) ([]byte, error) {
			var in echo
			if err := Decode(body, &in); err != nil {
				return nil, err
			}
			if in.Text == "first" {
				time.Sleep(time.Second)
			}
			return body, nil
		}
		a, b := connPair(echoHandler, slow)
		defer func() { _ = a.Close(); _ = b.Close() }()
		done := make(chan echo, 2)
		for _, text := range []string{"first", "second"} {
			go func() {
				var out echo
				if err := a.Call(t.Context(), "Echo", echo{text}, &out); err != nil {
					t.Error(err)
				}
				if out.Text != text {
					t.Errorf("got the reply %q to the request %q", out.Text, text)
				}
				done <- out
			}()
		}
		is.Equal((<-done).Text, "second")
		is.Equal((<-done).Text, "first")
	})
}

func TestCallFails(t *testing.T) {
	tests := map[string]struct {
		typ  Type
		prep func(a, b *Conn)
		want func(err error) bool
	}{
		"peer refuses": {"Fail", func(_, _ *Conn) {}, func(err error) bool {
			var re *RemoteError
			return errors.As(err, &re) && re.Text == "no"
		}},
		"peer is gone": {"Echo", func(_, b *Conn) { _ = b.Close() }, func(err error) bool {
			return errors.Is(err, ErrClosed)
		}},
		"connection closed before the call": {"Echo", func(a, _ *Conn) { _ = a.Close() }, func(err error) bool {
			return errors.Is(err, ErrClosed)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := connPair(echoHandler, echoHandler)
				defer func() { _ = a.Close(); _ = b.Close() }()
				tt.prep(a, b)
				if err := a.Call(t.Context(), tt.typ, echo{"x"}, nil); !tt.want(err) {
					t.Errorf("unexpected error %v", err)
				}
			})
		})
	}
}

func TestCallEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		never := func(ctx context.Context, _ *Conn, _ Type, _ []byte) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		a, b := connPair(echoHandler, never)
		defer func() { _ = a.Close(); _ = b.Close() }()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := a.Call(ctx, "Echo", echo{"x"}, nil)
		is.True(errors.Is(err, context.DeadlineExceeded))
	})
}

func TestListenerCloseEndsItsConnections(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := NewListener(ln, echoHandler)
	served := make(chan error, 1)
	go func() { served <- l.Serve() }()
	c, err := Dial(t.Context(), (&net.Dialer{}).DialContext, l.Addr(), echoHandler)
	is.NoErr(err)
	var out echo
	is.NoErr(c.Call(t.Context(), "Echo", echo{"x"}, &out))
	is.Equal(out.Text, "x")
	is.NoErr(l.Close())
	is.NoErr(<-served)
	<-c.Done()
	is.True(errors.Is(c.Call(t.Context(), "Echo", echo{"x"}, nil), ErrClosed))
}

// Guards against a request that is handled as one of another type. Repeated types are omitted on
// the wire.
func TestTypesArriveAsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var got []Type
		note := func(_ context.Context, _ *Conn, typ Type, body []byte) ([]byte, error) {
			got = append(got, typ)
			return body, nil
		}
		a, b := connPair(echoHandler, note)
		defer func() { _ = a.Close(); _ = b.Close() }()
		is.NoErr(a.Notify("One", 1))
		is.True(a.Notify("Two", make([]byte, MaxFrameBytes)) != nil) // too long, so not sent: the last type stays One
		sizes := []int64{a.Sent()}
		for _, typ := range []Type{"One", "Two", "Two", "One"} {
			is.NoErr(a.Call(t.Context(), typ, 1, nil))
			is.NoErr(b.Call(t.Context(), "Three", 1, nil)) // the other direction tracks its own last type
			synctest.Wait()                                // a counts its reply as sent after b has received it
			sizes = append(sizes, a.Sent())
		}
		is.NoErr(a.Notify("One", 1))
		synctest.Wait()
		is.Equal(got, []Type{"One", "One", "Two", "Two", "One", "One"})
		is.True(sizes[1]-sizes[0] < sizes[2]-sizes[1]) // One repeated, then Two for the first time
	})
}

// TestBodySentUnchanged guards against encoding a Body a second time.
func TestBodySentUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := connPair(echoHandler, echoHandler)
		defer func() { _ = a.Close(); _ = b.Close() }()
		body, err := Encode(echo{"once"})
		is.NoErr(err)
		var out echo
		is.NoErr(a.Call(t.Context(), "Echo", Body(body), &out))
		is.Equal(out, echo{"once"})
	})
}
