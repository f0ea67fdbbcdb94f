package origin

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestInvalidFraming guards against a head whose length or coding can't be relied on: if it is ignored, the body ends
// wherever the connection ends, and a short one is taken for complete.
func TestInvalidFraming(t *testing.T) {
	tests := map[string]string{
		"two lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nContent-Length: 8\r\n",
		"length with sign":     "HTTP/1.1 200 OK\r\nContent-Length: +10\r\n",
		"length in hex":        "HTTP/1.1 200 OK\r\nContent-Length: 0xa\r\n",
		"empty length":         "HTTP/1.1 200 OK\r\nContent-Length:\r\n",
		"space after length":   "HTTP/1.1 200 OK\r\nContent-Length : 10\r\n",
		"space before length":  "HTTP/1.1 200 OK\r\nX-Id: ID\r\n Content-Length: 10\r\n",
		"space after coding":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"unknown coding":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
		"length without colon": "HTTP/1.1 200 OK\r\nContent-Length 10\r\n",
	}
	for name, head := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := serve(t, func(int) string { return head + "X-Id: ID\r\nX-Stamp: s\r\n\r\nunframed" })
			c := New(Deps{Addr: b.addr, Names: testNames})
			defer c.Close()
			resp, err := c.Do(t.Context(), newRequest("r1"), true)
			if !errors.Is(err, ErrLost) {
				t.Fatalf("taken for complete: %+v, %v", resp, err)
			}
			is.True(MayHaveRun(err))
		})
	}
}
