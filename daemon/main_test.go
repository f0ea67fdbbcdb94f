package daemon

import (
	"context"
	"io"
	"log"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedWriter is an output whose reader has stopped reading.
type blockedWriter struct{ done <-chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.done
	return len(p), nil
}

// TestBlockedLog guards against a daemon that hangs in a write to its log: its calls would get no answer, and it would
// not stop.
func TestBlockedLog(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	code := make(chan int, 1)
	go func() {
		args := []string{"-listen.http", "127.0.0.1:0", "-listen.control", "127.0.0.1:0", "-stop.notice", "0s"}
		code <- Main(ctx, args, io.Discard, blockedWriter{t.Context().Done()})
	}()
	time.Sleep(200 * time.Millisecond)
	cancel()
	select {
	case c := <-code:
		is.Equal(c, exitOK)
	case <-time.After(10 * time.Second):
		t.Fatal("the daemon has not stopped")
	}
}

// TestBlockedStandardLog guards against a pool of connections that hangs with all its calls, as net/http logs an answer
// that nobody asked for while it holds the lock of the connection, and nobody reads the log.
func TestBlockedStandardLog(t *testing.T) {
	is := is.New(t)
	out := log.Writer()
	t.Cleanup(func() { log.SetOutput(out) })
	log.SetOutput(blockedWriter{t.Context().Done()})
	ctx, cancel := context.WithCancel(t.Context())
	code := make(chan int, 1)
	go func() {
		args := []string{"-listen.http", "127.0.0.1:0", "-listen.control", "127.0.0.1:0", "-stop.notice", "0s"}
		code <- Main(ctx, args, io.Discard, blockedWriter{t.Context().Done()})
	}()
	time.Sleep(200 * time.Millisecond)
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		log.Print("unsolicited response")
	}()
	select {
	case <-logged:
	case <-time.After(5 * time.Second):
		t.Fatal("still logging")
	}
	cancel()
	is.Equal(<-code, exitOK)
}
