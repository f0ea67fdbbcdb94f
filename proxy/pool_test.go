package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestConnectionsAreReused guards against opening a new connection for each refusal, which
// costs most when the servers are full.
func TestConnectionsAreReused(t *testing.T) {
	tests := map[string]struct {
		prepare func(*rig)
		reason  refuse.Reason
	}{
		"answers":  {func(*rig) {}, ""},
		"refusals": {refusing("Acquire", refuse.CapReached), refuse.CapReached},
		"shed calls": {
			raw("HTTP/1.1 503 X\r\nMarjoramcroft-Call: %s\r\nMarjoramcroft-Shed: not-run\r\nContent-Length: 4\r\n\r\nshed", false), refuse.Shedding,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				tt.prepare(g)
				for range 10 {
					is.Equal(g.call(t.Context(), http.MethodGet, "/", "r", nil).reason, tt.reason)
				}
				is.True(g.net.Dials("d0") <= 2) // one is for the announcements
				is.True(g.net.Dials("b0") <= 1)
			})
		})
	}
}

// TestLongCallsLeaveConnections guards against long calls that take all connections to a
// backend server, and against opening more connections than it declared.
func TestLongCallsLeaveConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1, nil)
		defer g.close()
		_ = g.backends[0].Close()
		var mu sync.Mutex
		open, most := 0, 0
		s := g.serve("b0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/long") {
				<-r.Context().Done()
			}
		}))
		s.ConnState = func(_ net.Conn, st http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			switch st {
			case http.StateNew:
				open++
				most = max(most, open)
			case http.StateClosed:
				open--
			}
		}
		g.targets[0].d.Backend = func() Backend { return Backend{Service: "lessons", Addr: "b0", Conns: 8} }
		for range 20 {
			go g.call(t.Context(), http.MethodPost, "/long", "l", nil)
		}
		time.Sleep(time.Second)
		replies := make(chan reply, 20)
		for range 20 {
			go func() { replies <- g.call(t.Context(), http.MethodPost, "/", "r", nil) }()
		}
		for range 20 {
			is.Equal((<-replies).status, http.StatusOK)
		}
		time.Sleep(time.Minute) // the long calls end
		mu.Lock()
		defer mu.Unlock()
		is.True(most <= 8)
	})
}

func TestPoolsStayWithinTheLimit(t *testing.T) {
	for limit := 1; limit <= 130; limit++ {
		p := newBackendPool(dialer(nil), limit)
		short, long := p.of(agree.Short).MaxConnsPerHost, p.of(agree.Long).MaxConnsPerHost
		sum := short + long
		if p.short == p.long {
			sum = short
		}
		if short < 1 || long < 1 || sum > limit {
			t.Errorf("limit %d: %d short, %d long", limit, short, long)
		}
	}
}

// TestEarlierAttemptCannotReadBody guards against two attempts that each read a part of the
// same upload: an http.Transport may still read when its call has been refused.
func TestEarlierAttemptCannotReadBody(t *testing.T) {
	is := is.New(t)
	p := &payload{head: []byte("head "), rest: strings.NewReader("rest"), length: 9}
	var first, second http.Request
	p.apply(&first)
	is.True(p.replayable())
	p.apply(&second)
	_, err := io.ReadAll(first.Body)
	is.True(errors.Is(err, errBody))
	b, err := io.ReadAll(second.Body)
	is.NoErr(err)
	is.Equal(string(b), "head rest")
	is.True(!p.replayable()) // it has been read now
}
