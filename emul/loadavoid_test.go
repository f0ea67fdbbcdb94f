package emul

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestLoadAvoidsStoppingDaemons guards against callers that keep sending to a daemon after an answer
// which shows that it is stopping. Their connections would break when it ends.
func TestLoadAvoidsStoppingDaemons(t *testing.T) {
	tests := map[string]struct {
		answer http.HandlerFunc
		want   bool
	}{
		"answer that ends the connection": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
		}, true},
		"refusal as draining": {func(w http.ResponseWriter, _ *http.Request) {
			_ = refuse.NotRun(refuse.Draining, "").Write(w)
		}, true},
		"refusal for another reason": {func(w http.ResponseWriter, _ *http.Request) {
			_ = refuse.NotRun(refuse.CapReached, "").Write(w)
		}, false},
		"plain answer": {func(http.ResponseWriter, *http.Request) {}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(tt.answer)
			defer srv.Close()
			is.Equal(avoids(t, ident.Addr(srv.Listener.Addr().String()), nil), tt.want)
		})
	}
}

// TestLoadCountsRefusedConnections guards against counting a refused connection, over which nothing was
// sent, as a broken one.
func TestLoadCountsRefusedConnections(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	is.True(avoids(t, ident.Addr(ln.Addr().String()), func(l *Load) {
		is.Equal(l.tally.unconnected, 1)
		is.Equal(l.tally.broken, 0)
	}))

	broken := errors.New("broken")
	l := NewLoad(LoadConfig{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, broken }})
	l.do(t.Context(), &send{entry: "x"})
	is.Equal(l.tally.unconnected, 0)
	is.Equal(l.tally.broken, 1)
}

// avoids reports whether a Load chooses only other daemons after a call to a.
func avoids(t *testing.T, a ident.Addr, check func(*Load)) bool {
	const other ident.Addr = "other"
	l := NewLoad(LoadConfig{Entries: []ident.Addr{a, other}})
	l.do(t.Context(), &send{entry: a})
	if check != nil {
		check(l)
	}
	for range 100 {
		if l.chooseEntry() == a {
			return false
		}
	}
	return true
}
