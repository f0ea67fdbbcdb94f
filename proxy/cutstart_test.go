package proxy

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestCutAnswerShowsItsStart guards against an answer that breaks off before its start has left the daemon: its caller
// would see a connection that closes without an answer, and clients send some requests again that were on a kept one.
func TestCutAnswerShowsItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1, nil)
		defer g.close()
		start := strings.Repeat("x", 1000)
		raw("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+start, true)(g)
		got := g.callAt(t.Context(), "d0", http.MethodPost, "/once", "r", nil)
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, start)
		is.True(got.err != nil) // the caller sees that the rest is missing
	})
}
