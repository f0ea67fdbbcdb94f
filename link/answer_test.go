package link

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestAnswerNotSent guards against callers that wait until their deadline for an answer that the other daemon has
// dropped.
func TestAnswerNotSent(t *testing.T) {
	tests := map[string]struct {
		answer int  // bytes
		queued bool // the write queue of the answering daemon is full
	}{
		"write queue full": {1 << 20, true},
		"answer too large": {9 << 20, false},
		"answer empty":     {0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a, b := net.Pipe()
				read := make(chan struct{})
				caller := New(a, Handlers{Notice: func(*Conn, []byte) { <-read }})
				other := New(b, Handlers{Call: func(context.Context, *Conn, []byte) []byte { return make([]byte, tt.answer) }})
				for _, c := range []*Conn{caller, other} {
					go func() { _ = c.Serve() }()
					defer c.Close()
				}
				for tt.queued && other.Notify(make([]byte, 1<<20-1000)) {
					synctest.Wait()
				}
				began := time.Now()
				ended := make(chan error, 1)
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					_, err := caller.Call(ctx, []byte("x"), nil)
					ended <- err
				}()
				synctest.Wait() // the call has run
				close(read)
				is.True(errors.Is(<-ended, ErrLost))
				if took := time.Since(began); took >= time.Second {
					t.Errorf("ended only after %s", took)
				}
				is.True(caller.Notify(nil)) // the connection continues
			})
		})
	}
}

// TestTooManyCalls guards against one call above the limit that ends all calls of its daemon as lost, though they run.
func TestTooManyCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := net.Pipe()
		release := make(chan struct{})
		caller := New(a, Handlers{})
		other := New(b, Handlers{Busy: []byte("not run"), Call: func(context.Context, *Conn, []byte) []byte {
			<-release
			return []byte("ran")
		}})
		for _, c := range []*Conn{caller, other} {
			go func() { _ = c.Serve() }()
			defer c.Close()
		}
		answers := map[string]int{}
		ended := make(chan string)
		for range maxRunningCalls + 3 {
			go func() {
				b, err := caller.Call(t.Context(), []byte("x"), nil)
				if err != nil {
					b = []byte(err.Error())
				}
				ended <- string(b)
			}()
		}
		synctest.Wait()
		close(release)
		for range maxRunningCalls + 3 {
			answers[<-ended]++
		}
		is.Equal(answers, map[string]int{"ran": maxRunningCalls, "not run": 3})
	})
}
