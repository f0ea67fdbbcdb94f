package proxy

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestInvalidStatus guards against a call that ends without an answer, since net/http panics at the status that its
// backend server has sent.
func TestInvalidStatus(t *testing.T) {
	for _, daemon := range []string{"entry", "d0"} { // with and without a hop to another daemon
		t.Run(daemon, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				raw("HTTP/1.1 042 X\r\nContent-Length: 0\r\n\r\n", false)(g)
				got := g.callAt(t.Context(), daemon, http.MethodPost, "/", "r", nil)
				is.NoErr(got.err) // without an answer, the connection ends
				is.Equal(got.reason, refuse.AnswerLost)
				is.Equal(got.ran, refuse.RanUnknown)
				synctest.Wait()
				is.Equal(g.unitsInUse(), 0)
			})
		})
	}
}
