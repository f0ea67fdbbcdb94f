package origin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testNames = Names{
	Request: "X-Id", Deadline: "X-Deadline", ExpectInstance: "X-Instance", Caller: "X-Caller", InstanceID: "X-Answerer",
	Stamp: "X-Stamp", NotRun: "X-Not-Run", Load: "X-Load",
}

// backend is a scripted backend server. It answers each request with the bytes that answer returns, with ID
// replaced by the request's id. An empty answer closes the connection, "reset" resets it, and "hang" sends
// nothing.
type backend struct {
	addr     string
	conns    atomic.Int32
	served   atomic.Int32
	requests chan *http.Request
	later    func(n int) string // if set, returns what is written after the answer to the request n
}

func serve(t *testing.T, answer func(n int) string) *backend {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	b := &backend{addr: ln.Addr().String(), requests: make(chan *http.Request, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.conns.Add(1)
			go b.serve(c, answer)
		}
	}()
	return b
}

func (b *backend) serve(c net.Conn, answer func(n int) string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		select {
		case b.requests <- req:
		default: // the test reads none
		}
		n := int(b.served.Add(1))
		s := answer(n)
		switch s {
		case "":
			return
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case "hang":
			_, _ = io.Copy(io.Discard, r)
			return
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(s, "ID", req.Header.Get("X-Id"))); err != nil {
			return
		}
		if strings.Contains(s, "unframed") {
			return
		}
		if b.later == nil {
			continue
		}
		if _, err := io.WriteString(c, b.later(n)); err != nil {
			return
		}
	}
}

func newRequest(id string) *Request {
	return &Request{
		ID: id, Method: "GET", URI: "/a/%2e%2e/b?q=1", Host: "h.example", Header: http.Header{"Accept": {"*/*"}},
		Instance: "i-1", Caller: "shop", Deadline: time.Now().Add(2 * time.Second),
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nX-Load: 3,1,8,250\r\nContent-Length: 2\r\n\r\nok"

// TestAnswers guards against accepting an answer that is incomplete or belongs to another request, and
// against reporting a request as not run although it was sent.
func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		answer string
		want   error
		status int
		notRun bool
	}{
		"good":                     {okResponse, nil, 200, false},
		"chunked":                  {"HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", nil, 200, false},
		"unframed":                 {"HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\n\r\nunframed", nil, 200, false},
		"after 100":                {"HTTP/1.1 100 Continue\r\n\r\n" + okResponse, nil, 200, false},
		"failure of the server":    {strings.Replace(okResponse, "200 OK", "500 No", 1), nil, 500, false},
		"not run":                  {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", nil, 503, true},
		"other server":             {"HTTP/1.1 421 No\r\nX-Answerer: i-2\r\nContent-Length: 0\r\n\r\n", nil, 421, true},
		"without stamp":            {strings.Replace(okResponse, "X-Stamp: s\r\n", "", 1), ErrInvalidAnswer, 0, false},
		"without id":               {strings.Replace(okResponse, "X-Id: ID\r\n", "", 1), ErrInvalidAnswer, 0, false},
		"of another request":       {strings.Replace(okResponse, "ID", "other", 1), ErrInvalidAnswer, 0, false},
		"encoded":                  {strings.Replace(okResponse, "X-Stamp: s", "X-Stamp: s\r\nContent-Encoding: gzip", 1), ErrInvalidAnswer, 0, false},
		"cut before the answer":    {"", ErrLost, 0, false},
		"reset":                    {"reset", ErrLost, 0, false},
		"cut within the body":      {"HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s\r\nConnection: close\r\nContent-Length: 9\r\n\r\nunframed", ErrLost, 0, false},
		"bytes that are no answer": {"garbage\r\n\r\n", ErrLost, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := serve(t, func(int) string { return tt.answer })
			c := New(Deps{Addr: b.addr, Names: testNames})
			defer c.Close()
			resp, err := c.Do(t.Context(), newRequest("r1"), true)
			if tt.want != nil {
				is.True(errors.Is(err, tt.want))
				is.True(MayHaveRun(err))
				return
			}
			is.NoErr(err)
			is.Equal(resp.Status, tt.status)
			is.Equal(resp.NotRun, tt.notRun)
		})
	}
}

// TestRequestIsUnchanged guards against changing the path, host or header fields on the way to the backend
// server.
func TestRequestIsUnchanged(t *testing.T) {
	is := is.New(t)
	b := serve(t, func(int) string { return okResponse })
	c := New(Deps{Addr: b.addr, Names: testNames})
	defer c.Close()
	r := newRequest("r1")
	r.Method, r.Body = "POST", []byte("body")
	r.Header.Set("X-Caller", "forged")
	resp, err := c.Do(t.Context(), r, false)
	is.NoErr(err)
	is.Equal(resp.Load, Load{Known: true, Running: 3, Waiting: 1, Slots: 8, Slowness: 250})
	got := <-b.requests
	is.Equal(got.RequestURI, "/a/%2e%2e/b?q=1")
	is.Equal(got.Host, "h.example")
	is.Equal(got.Header["X-Caller"], []string{"shop"})
	is.Equal(got.Header.Get("X-Instance"), "i-1")
	is.Equal(got.ContentLength, int64(4))
	is.True(got.Header.Get("X-Deadline") != "")
}

// TestConnections guards against taking a late answer for that of the next request, and against opening a new
// connection for each request.
func TestConnections(t *testing.T) {
	tests := map[string]struct {
		answer string
		conns  int32 // for three requests
	}{
		"kept":                    {okResponse, 1},
		"closing":                 {strings.Replace(okResponse, "X-Stamp", "Connection: close\r\nX-Stamp", 1), 3},
		"second answer at once":   {okResponse + strings.ReplaceAll(okResponse, "ID", "other"), 3},
		"idle time of one second": {strings.Replace(okResponse, "X-Stamp", "Keep-Alive: timeout=1\r\nX-Stamp", 1), 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := serve(t, func(int) string { return tt.answer })
			c := New(Deps{Addr: b.addr, Names: testNames})
			defer c.Close()
			for i := range 3 {
				resp, err := c.Do(t.Context(), newRequest(fmt.Sprint("r", i)), true)
				is.NoErr(err)
				is.Equal(resp.Status, 200)
				time.Sleep(5 * time.Millisecond)
			}
			is.Equal(b.conns.Load(), tt.conns)
		})
	}
}

// TestNotSent guards against reporting a request as possibly run although no connection was made.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	_ = ln.Close()
	c := New(Deps{Addr: addr, Names: testNames})
	_, err = c.Do(t.Context(), newRequest("r"), false)
	is.True(errors.Is(err, ErrRefused))
	is.True(!MayHaveRun(err))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Do(ctx, newRequest("r"), false)
	is.True(!MayHaveRun(err))
}

// TestCallerLeaves guards against a backend server that keeps processing after the caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	b := serve(t, func(int) string { return "hang" })
	c := New(Deps{Addr: b.addr, Names: testNames})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := c.Do(ctx, newRequest("r"), true)
	is.True(errors.Is(err, ErrLost))
	is.True(time.Since(began) < time.Second)
}

// TestUnsafeAvoidsIdleConnections guards against losing a request that must not be repeated on an idle
// connection that the backend server has dropped.
func TestUnsafeAvoidsIdleConnections(t *testing.T) {
	is := is.New(t)
	b := serve(t, func(int) string { return okResponse })
	c := New(Deps{Addr: b.addr, Names: testNames})
	defer c.Close()
	_, err := c.Do(t.Context(), newRequest("r1"), false)
	is.NoErr(err)
	time.Sleep(maxIdleNotIdempotent + 50*time.Millisecond)
	_, err = c.Do(t.Context(), newRequest("r2"), false)
	is.NoErr(err)
	is.Equal(b.conns.Load(), int32(2))
	_, err = c.Do(t.Context(), newRequest("r3"), true)
	is.NoErr(err)
	is.Equal(b.conns.Load(), int32(2))
}
