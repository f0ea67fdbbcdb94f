package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Answers of a backend server; %s is the id of the call.
const (
	okAnswer    = "HTTP/1.1 200 OK\r\nMarjoramcroft-Call: %s\r\nContent-Length: 2\r\n\r\nok"
	emptyAnswer = "HTTP/1.1 200 OK\r\nMarjoramcroft-Call: %s\r\nContent-Length: 0\r\n\r\n"
	shedAnswer  = "HTTP/1.1 503 X\r\nMarjoramcroft-Call: %s\r\nMarjoramcroft-Shed: not-run\r\nContent-Length: 0\r\n\r\n"
)

// TestEarlierAnswerRepeated guards against an earlier answer that a backend server writes once more on a kept
// connection: a later call is refused as not run although it runs, or gets an answer that is not its own.
func TestEarlierAnswerRepeated(t *testing.T) {
	lost := reply{status: http.StatusBadGateway, reason: refuse.AnswerLost, ran: refuse.RanUnknown}
	tests := map[string]struct {
		second string // answer to the second call, which is written once more before that to the third
		others string
		third  reply
	}{
		"refusal":                {shedAnswer, okAnswer, lost},
		"refusal, empty answers": {shedAnswer, emptyAnswer, lost},
		"answer":                 {strings.Replace(okAnswer, "200", "500", 1), okAnswer, lost},
		"empty answer":           {strings.Replace(emptyAnswer, "200", "500", 1), emptyAnswer, lost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				_ = g.backends[0].Close()
				n := 0
				previous := map[net.Conn]string{}
				g.script("b0", func(c net.Conn, r *http.Request) {
					n++
					s := tt.others
					if n == 2 {
						s = tt.second
					}
					s = strings.ReplaceAll(s, "%s", r.Header.Get(HeaderCall))
					if n == 3 {
						_, _ = io.WriteString(c, previous[c])
					}
					previous[c] = s
					_, _ = io.WriteString(c, s)
				})
				call := func() reply { return g.call(t.Context(), http.MethodPost, "/", fmt.Sprint("r", n), nil) }
				is.Equal(call().status, http.StatusOK)
				call()
				third := call()
				is.Equal(third.status, tt.third.status)
				is.Equal(third.reason, tt.third.reason)
				is.Equal(third.ran, tt.third.ran)
				synctest.Wait()
				is.Equal(n, 3) // no call is sent twice
				is.Equal(g.unitsInUse(), 0)
			})
		})
	}
}
