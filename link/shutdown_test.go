package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
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

// TestShutdownCrossingCall guards against a call that is dropped unseen since its link is being closed: its sender has to
// learn that it has not run, so that it can send it elsewhere.
func TestShutdownCrossingCall(t *testing.T) {
	tests := map[string]struct {
		after   time.Duration // from the start of the shutdown; the latency is 20 ms
		want    string        // answer
		wantErr error
	}{
		"before the other daemon knows": {10 * time.Millisecond, "not run", nil},
		"after it knows":                {30 * time.Millisecond, "", ErrNotSent},
		"after the end":                 {200 * time.Millisecond, "", ErrNotSent},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				caller, other := farPair(t, Handlers{Call: func(context.Context, *Conn, []byte) []byte { return []byte("not run") }})
				began := time.Now()
				ended := make(chan time.Duration, 1)
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					other.Shutdown(ctx)
					ended <- time.Since(began)
				}()
				time.Sleep(tt.after)
				got, err := caller.Call(t.Context(), []byte("x"), nil)
				is.Equal(string(got), tt.want)
				is.True(errors.Is(err, tt.wantErr))
				is.True(<-ended < 100*time.Millisecond) // two round trips
			})
		})
	}
}

// farPair returns two connected Conns in two regions, in memory; the second handles calls with h.
func farPair(t *testing.T, h Handlers) (caller, other *Conn) {
	t.Helper()
	is := is.New(t)
	network := emul.NewNetwork()
	network.Listen("a", ident.Place{Region: "a"}, func(net.Conn) {})
	network.Listen("b", ident.Place{Region: "b"}, func(nc net.Conn) { other = New(nc, h) })
	nc, err := network.Dial(t.Context(), "a", "b")
	is.NoErr(err)
	caller = New(nc, Handlers{})
	for _, c := range []*Conn{caller, other} {
		go func() { _ = c.Serve() }()
		t.Cleanup(c.Close)
	}
	return caller, other
}

// TestShutdownOfEarlierBuild guards against a rolling restart in which daemons of two builds stop each other's links, or
// wait for each other until the end of the grace time.
func TestShutdownOfEarlierBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := net.Pipe()
		c := New(a, Handlers{Call: func(context.Context, *Conn, []byte) []byte { return []byte("answer") }})
		go func() { _ = c.Serve() }()
		defer c.Close()
		for _, f := range []frame{{Kind: 99}, {Kind: kindCall, ID: 7}} {
			p, err := f.encode()
			is.NoErr(err)
			_, err = b.Write(p)
			is.NoErr(err)
		}
		var kinds []kind
		began := time.Now()
		go c.Shutdown(t.Context())
		for {
			p, err := wire.ReadFrame(b)
			if err != nil {
				break // closed; an earlier build ignores the kinds that it does not know
			}
			var f frame
			is.NoErr(wire.Decode(p, &f))
			kinds = append(kinds, f.Kind)
		}
		is.True(slices.Contains(kinds, kindAnswer))
		is.True(time.Since(began) <= 2*stopReplyTimeout)
	})
}

// TestShutdownOfBoth guards against two daemons that stop within a round trip and lose the calls between them, or wait for
// each other until the end of their grace time.
func TestShutdownOfBoth(t *testing.T) {
	for after := time.Duration(0); after <= 100*time.Millisecond; after += 10 * time.Millisecond {
		for _, callerFirst := range []bool{true, false} {
			t.Run(fmt.Sprint("caller first ", callerFirst, ", ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					caller, other := farPair(t, Handlers{Call: func(context.Context, *Conn, []byte) []byte {
						time.Sleep(50 * time.Millisecond)
						return []byte("answer")
					}})
					began := time.Now()
					var wg sync.WaitGroup
					for i := range 20 {
						wg.Go(func() {
							time.Sleep(time.Duration(i) * 5 * time.Millisecond)
							if _, err := caller.Call(t.Context(), []byte("x"), nil); err != nil && !errors.Is(err, ErrNotSent) {
								t.Errorf("call after %d ms: %v", 5*i, err)
							}
						})
					}
					first, second := other, caller
					if callerFirst {
						first, second = caller, other
					}
					wg.Go(func() { first.Shutdown(t.Context()) })
					wg.Go(func() {
						time.Sleep(after)
						second.Shutdown(t.Context())
					})
					wg.Wait()
					is.True(time.Since(began) < after+stopReplyTimeout)
				})
			})
		}
	}
}
