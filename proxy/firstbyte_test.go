package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestBodyWithoutFirstByte guards against a call that ends without an answer, since its backend server has sent a head but
// no byte of the body when the connection breaks or the deadline passes.
func TestBodyWithoutFirstByte(t *testing.T) {
	heads := map[string]string{"chunks": "Transfer-Encoding: chunked", "long body": "Content-Length: 100000"}
	keys := map[string][]string{"call": nil, "keyed call": {HeaderKey, "k"}}
	for head, field := range heads {
		for call, key := range keys {
			for _, breaks := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, breaks %t", head, call, breaks), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						g := newRig(t, 1, nil)
						defer g.close()
						var answered StoredAnswer // as recorded for the key
						d := g.entryDeps("d0", g.targets[0])
						d.Finish = func(_ context.Context, _ KeyRequest, a StoredAnswer) error {
							answered = a
							return nil
						}
						e := NewEntry(d)
						g.serve("beside", e)
						_ = g.backends[0].Close()
						g.script("b0", func(c net.Conn, r *http.Request) {
							_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n\r\n", HeaderCall, r.Header.Get(HeaderCall), field)
							if breaks {
								_ = c.Close()
							}
						})
						got := g.callAt(t.Context(), "beside", http.MethodPost, "/once", "r", nil, key...)
						is.NoErr(got.err) // without an answer, the connection ends
						is.Equal(got.status, refuse.AnswerLost.Status())
						is.Equal(got.reason, refuse.AnswerLost)
						is.Equal(got.ran, refuse.RanUnknown)
						is.True(got.body != "")
						if key != nil {
							is.Equal(answered, StoredAnswer{Ran: refuse.RanUnknown})
						}
						synctest.Wait() // the backend server has closed its connection
						is.Equal(g.unitsInUse(), 0)
					})
				})
			}
		}
	}
}
