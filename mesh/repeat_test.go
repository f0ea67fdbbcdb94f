package mesh

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// repeatingBackend refuses the first request. On a connection that carried a refusal, it writes that once more before
// each answer.
type repeatingBackend struct {
	addr     string
	requests atomic.Int32
	runs     atomic.Int32
}

func newRepeatingBackend(t *testing.T) *repeatingBackend {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	b := &repeatingBackend{addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

// report sends a heartbeat of b to the daemon beside it.
func (b *repeatingBackend) report(t *testing.T, n *testNode) {
	t.Helper()
	is := is.New(t)
	is.NoErr(n.HandleHeartbeat(Heartbeat{ID: "i-1", Service: "s", Addr: b.addr, Slots: 4, State: Ready, Seq: 1, Started: 2}))
}

func (b *repeatingBackend) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	refusal := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Id")
		out := refusal + "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
		if b.requests.Add(1) == 1 {
			refusal = "HTTP/1.1 503 Full\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
			out = refusal
		} else {
			b.runs.Add(1)
		}
		if _, err := io.WriteString(c, out); err != nil {
			return
		}
	}
}

// unsafeCall sends a call with the given id, which must not run twice, through n.
func (n *testNode) unsafeCall(t *testing.T, id string) *Answer {
	t.Helper()
	now := n.d.Now()
	return n.Serve(t.Context(), &Call{
		ID: id, Method: "GET", URI: "/s/buy/", Path: "/s/buy/", Host: "h", Header: http.Header{},
		Arrived: now, Deadline: now.Add(1500 * time.Millisecond),
	})
}

// TestRefusalRepeated guards against a call that is told "not run" while its backend server runs it: the server writes
// the refusal of an earlier call once more.
func TestRefusalRepeated(t *testing.T) {
	tests := map[string][]string{ // ids of the calls after the refused one, r1
		"same call":        {"r1", "r2"},
		"same call, later": {"r2", "r1"},
		"other calls":      {"r2", "r3"},
	}
	for name, ids := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newTestCluster(t)
			r.configure(1, "s")
			a := r.add(here, "s")
			eventually(t, "configuration", a.Ready)
			b := newRepeatingBackend(t)
			b.report(t, a)
			a.waitForServers(t, "s", 1)
			is.True(a.unsafeCall(t, "r1").Refusal != nil)
			for i, id := range ids {
				ans := a.unsafeCall(t, id)
				is.Equal(ans.Refusal, nil)
				is.Equal(ans.Status, http.StatusOK)
				is.Equal(b.runs.Load(), int32(i+1))
			}
		})
	}
}

// TestRepeatedRefusalRunsOnce guards against a call that runs at a second backend server, because the first one writes
// an earlier refusal once more and then runs it.
func TestRepeatedRefusalRunsOnce(t *testing.T) {
	is := is.New(t)
	_, a, other := twoNodes(t)
	b := newRepeatingBackend(t)
	b.report(t, a)
	is.Equal(a.unsafeCall(t, "r1").Refusal, nil) // refused by b, run by the other server
	is.Equal(other.backend.total.Load(), int32(1))
	is.Equal(a.unsafeCall(t, "r1").Refusal, nil) // the caller sends it again
	is.Equal(b.runs.Load(), int32(1))
	is.Equal(other.backend.total.Load(), int32(1))
}
