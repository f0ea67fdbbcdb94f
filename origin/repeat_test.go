package origin

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	refusal     = "HTTP/1.1 503 Full\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	misdirected = "HTTP/1.1 421 No\r\nX-Id: ID\r\nX-Answerer: i-2\r\nContent-Length: 0\r\n\r\n"
)

// answerTo returns the answer s to the request id.
func answerTo(id, s string) string { return strings.ReplaceAll(s, "ID", id) }

// withoutID returns the answer s without the id of its request.
func withoutID(s string) string { return strings.Replace(s, "X-Id: ID\r\n", "", 1) }

// TestEarlierAnswerRepeated guards against an earlier answer that a backend server writes once more on a kept
// connection: a later request counted as not run although it was running, or got an answer that is not its own.
func TestEarlierAnswerRepeated(t *testing.T) {
	failure := strings.Replace(okResponse, "200 OK", "500 No", 1)
	ok := okResponse
	tests := map[string]struct {
		ids     []string // of the requests
		answers []string // on the first connection; every other connection gets the complete answer
		err     error    // of the last request
		conns   int32
	}{
		"refusal of the previous request":      {[]string{"r1", "r2"}, []string{refusal, answerTo("r1", refusal) + ok}, nil, 1},
		"refusal of an earlier request":        {[]string{"r1", "r2", "r3"}, []string{refusal, ok, answerTo("r1", refusal) + ok}, nil, 1},
		"refusals of two earlier requests":     {[]string{"r1", "r2", "r3"}, []string{refusal, refusal, answerTo("r1", refusal) + answerTo("r2", refusal) + ok}, nil, 1},
		"refusal after an interim answer":      {[]string{"r1", "r2", "r3"}, []string{refusal, ok, "HTTP/1.1 100 Continue\r\n\r\n" + answerTo("r1", refusal) + ok}, nil, 1},
		"answer of an earlier request":         {[]string{"r1", "r2", "r3"}, []string{ok, ok, answerTo("r1", ok) + ok}, nil, 1},
		"refusal of the same request":          {[]string{"r1", "r1"}, []string{refusal, refusal + ok}, nil, 2},
		"refusal of the same request, earlier": {[]string{"r1", "r2", "r1"}, []string{refusal, ok, refusal + ok}, nil, 2},
		"answer of the same request":           {[]string{"r1", "r1"}, []string{failure, failure + ok}, nil, 2},
		"refusal without an id":                {[]string{"r1", "r2"}, []string{ok, withoutID(refusal) + ok}, ErrInvalidAnswer, 1},
		"421 without an id":                    {[]string{"r1", "r2"}, []string{ok, withoutID(misdirected) + ok}, ErrInvalidAnswer, 1},
		"421 of the same request":              {[]string{"r1", "r1"}, []string{misdirected, misdirected + ok}, nil, 2},
		"refusals without an id":               {[]string{"r1", "r2"}, []string{withoutID(refusal), withoutID(refusal) + ok}, nil, 2},
		"421 and refusal without an id":        {[]string{"r1", "r2"}, []string{withoutID(misdirected), withoutID(refusal) + ok}, nil, 2},
		"answer without an id":                 {[]string{"r1", "r2"}, []string{ok, withoutID(ok) + ok}, ErrInvalidAnswer, 1},
		"kept after the same request":          {[]string{"r1", "r1", "r2", "r3"}, []string{refusal, ok, ok, ok}, nil, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b *backend
			b = serve(t, func(n int) string {
				if b.conns.Load() > 1 {
					return ok
				}
				return tt.answers[n-1]
			})
			c := New(Deps{Addr: b.addr, Names: testNames})
			defer c.Close()
			last := len(tt.ids) - 1
			for _, id := range tt.ids[:last] {
				_, err := c.Do(t.Context(), newRequest(id), false)
				is.NoErr(err)
			}
			resp, err := c.Do(t.Context(), newRequest(tt.ids[last]), false)
			is.True(errors.Is(err, tt.err))
			if tt.err != nil {
				is.True(MayHaveRun(err)) // the backend server has the request
			} else {
				is.Equal(resp.Status, 200)
				is.True(!resp.NotRun)
			}
			is.Equal(b.conns.Load(), tt.conns)
			is.Equal(b.served.Load(), int32(len(tt.ids))) // no request is sent twice
		})
	}
}

// TestAnswerRepeatedWhileIdle guards against an earlier refusal that arrives while its connection is idle, and is
// read as the answer to the next request.
func TestAnswerRepeatedWhileIdle(t *testing.T) {
	for _, id := range []string{"r1", "r2"} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprint(id, " after ", pause), func(t *testing.T) {
				is := is.New(t)
				copied := make(chan struct{})
				b := serve(t, func(n int) string {
					if n == 1 {
						return refusal
					}
					return okResponse
				})
				b.later = func(n int) string {
					if n > 1 {
						return ""
					}
					<-copied
					return answerTo("r1", refusal)
				}
				c := New(Deps{Addr: b.addr, Names: testNames})
				defer c.Close()
				_, err := c.Do(t.Context(), newRequest("r1"), false)
				is.NoErr(err)
				close(copied)
				time.Sleep(pause)
				resp, err := c.Do(t.Context(), newRequest(id), false)
				is.NoErr(err)
				is.Equal(resp.Status, 200)
			})
		}
	}
}

// TestRepeatsShareConnections guards against a request that is sent many times and leaves an idle connection each
// time, up to the limit of the backend server.
func TestRepeatsShareConnections(t *testing.T) {
	is := is.New(t)
	b := serve(t, func(int) string { return refusal })
	c := New(Deps{Addr: b.addr, Names: testNames})
	defer c.Close()
	for range 10 {
		_, err := c.Do(t.Context(), newRequest("r"), false)
		is.NoErr(err)
		is.Equal(len(c.idle), 1)
	}
	_, err := c.Do(t.Context(), newRequest("other"), false)
	is.NoErr(err)
	is.Equal(b.conns.Load(), int32(10))
}

// TestConnectionCarriesLimitedRequests guards against ids of requests that fill the memory of a daemon which keeps a
// connection for hours.
func TestConnectionCarriesLimitedRequests(t *testing.T) {
	is := is.New(t)
	b := serve(t, func(int) string { return okResponse })
	c := New(Deps{Addr: b.addr, Names: testNames})
	defer c.Close()
	for i := range maxConnRequests + 1 {
		is.Equal(b.conns.Load(), min(int32(i), 1))
		_, err := c.Do(t.Context(), newRequest(fmt.Sprint("r", i)), false)
		is.NoErr(err)
	}
	is.Equal(b.conns.Load(), int32(2))
}
