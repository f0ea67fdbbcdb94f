package wire

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pipeListener accepts one connection after a number of failures, and then none until it is closed.
type pipeListener struct {
	net.Listener
	err      error
	failures int
	conns    chan net.Conn
	closed   chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: l.err}
	}
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

// TestListenerAfterAcceptErrors guards against a daemon that ends, and cuts its calls in flight, because it can't accept
// a connection for a moment.
func TestListenerAfterAcceptErrors(t *testing.T) {
	tests := map[string]error{
		"no descriptors": syscall.EMFILE, "no buffers": syscall.ENOBUFS, "connection aborted": syscall.ECONNABORTED,
	}
	for name, err := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				near, far := net.Pipe()
				p := &pipeListener{err: err, failures: 8, conns: make(chan net.Conn, 1), closed: make(chan struct{})}
				p.conns <- far
				l := NewListener(p, echoHandler)
				var failed atomic.Int32
				l.AcceptFailed = func(error, time.Duration) { failed.Add(1) }
				served := make(chan error, 1)
				go func() { served <- l.Serve() }()
				c := NewConn(near, echoHandler)
				go func() { _ = c.Serve() }()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				var out echo
				is.NoErr(c.Call(ctx, "Echo", echo{"x"}, &out))
				is.Equal(failed.Load(), int32(8))
				is.NoErr(l.Close())
				is.NoErr(<-served)
			})
		})
	}
}

// TestListenerClosePause guards against a listener that serves on while it waits to retry after a failed accept.
func TestListenerClosePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipeListener{err: syscall.EMFILE, failures: 1000, closed: make(chan struct{})}
		l := NewListener(p, echoHandler)
		served := make(chan error, 1)
		go func() { served <- l.Serve() }()
		time.Sleep(10 * time.Second)
		began := time.Now()
		is.NoErr(l.Close())
		is.NoErr(<-served)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// TestShutdownBesideAcceptErrors guards against a stop of an HTTP server that waits for the pause after a failed accept,
// at the end of which the process may be killed.
func TestShutdownBesideAcceptErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipeListener{err: syscall.ENOBUFS, failures: 1000, closed: make(chan struct{})}
		s := &http.Server{}
		served := make(chan error, 1)
		go func() { served <- s.Serve(RetryAccept(p)) }()
		time.Sleep(10*time.Second + time.Millisecond)
		began := time.Now()
		is.NoErr(s.Shutdown(t.Context()))
		is.Equal(<-served, http.ErrServerClosed)
		is.Equal(time.Since(began), time.Duration(0))
		is.True(p.failures > 980) // the pauses grow
	})
}

// TestListenerAcceptDuringClose guards against a listener that waits in Close for a connection which was accepted at the
// same time: the daemon would not stop.
func TestListenerAcceptDuringClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		l := NewListener(&pipeListener{closed: make(chan struct{})}, echoHandler)
		is.NoErr(l.Close())
		l.add(NewConn(far, echoHandler))
		synctest.Wait()
		_, err := near.Write([]byte{0})
		is.True(err != nil) // the connection is closed
		l.wg.Wait()
	})
}
