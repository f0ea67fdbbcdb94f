package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
)

// faultCase is one call under one fault, and the result that its caller must get.
type faultCase struct {
	daemons int                       // 1 if zero
	backend func(*emul.BackendConfig) // may be nil
	prepare func(g *rig)              // causes the fault; may be nil
	during  func(g *rig)              // runs during the call; may be nil
	method  string                    // GET if empty
	path    string
	body    func() io.Reader
	header  []string

	status int           // of the answer; zero: a refusal
	reason refuse.Reason // of the refusal
	ran    refuse.Ran
	broken bool // the connection breaks after the headers, and the caller sees it
	runs   int  // at all backend servers
	crash  bool // the request becomes a suspect
}

func refusing(stage string, reason refuse.Reason) func(*rig) {
	return func(g *rig) { g.refusal[stage] = refuse.NotRun(reason, "") }
}

// raw makes the backend server b0 write s in reply to each request, with %s replaced by the
// call id.
func raw(s string, closes bool) func(*rig) {
	return func(g *rig) {
		_ = g.backends[0].Close()
		g.script("b0", func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, strings.ReplaceAll(s, "%s", r.Header.Get(HeaderCall)))
			if closes {
				_ = c.Close()
			}
		})
	}
}

func faultCases() map[string]faultCase {
	big := func() io.Reader { return strings.NewReader(strings.Repeat("b", 3*MaxReplay)) }
	return map[string]faultCase{
		"answer": {path: "/safe", status: 200, runs: 1},

		"backend crash before the first byte is unknown":          {method: "POST", path: "/?crash=after", reason: refuse.AnswerLost, ran: refuse.RanUnknown, runs: 1, crash: true},
		"backend crash before the run is not reported as not run": {method: "POST", path: "/?crash=before", reason: refuse.AnswerLost, ran: refuse.RanUnknown, runs: 0, crash: true},
		"backend crash after the first byte breaks the caller":    {method: "POST", path: "/?crash=mid&size=100000", broken: true, runs: 1, crash: true},
		"backend crash in a short answer is a typed refusal":      {method: "POST", path: "/?crash=mid&size=4000", reason: refuse.AnswerLost, ran: refuse.RanUnknown, runs: 1, crash: true},
		"idempotent call is retried elsewhere after a crash":      {daemons: 2, path: "/safe?crash=after", reason: refuse.AnswerLost, ran: refuse.RanUnknown, runs: 2, crash: true},
		"GET of an unsafe route is not repeated":                  {daemons: 2, path: "/once?crash=after", reason: refuse.AnswerLost, ran: refuse.RanUnknown, runs: 1, crash: true},
		"refused backend connection is not run": {
			method: "POST", path: "/", prepare: func(g *rig) { _ = g.backends[0].Close() },
			reason: refuse.NoServer, ran: refuse.RanNo,
		},
		"non-idempotent call is retried when the backend refuses connections": {
			daemons: 2, method: "POST", path: "/", prepare: func(g *rig) { _ = g.backends[0].Close() }, status: 200, runs: 1,
		},
		"non-idempotent call is retried when the daemon refuses connections": {
			daemons: 2, method: "POST", path: "/", prepare: func(g *rig) { _ = g.servers[1].Close() }, status: 200, runs: 1,
		},
		"hop daemon killed during the call is unknown": {
			daemons: 2, method: "POST", path: "/?time=1s", during: func(g *rig) { _ = g.servers[1].Close() },
			reason: refuse.AnswerLost, ran: refuse.RanUnknown, runs: 1,
		},
		"hop daemon killed during an idempotent call": {
			daemons: 2, path: "/?time=1s", during: func(g *rig) { _ = g.servers[1].Close() }, status: 200, runs: 2,
		},

		"answer to another call is not passed on": {
			method: "POST", path: "/", prepare: raw("HTTP/1.1 200 OK\r\nMarjoramcroft-Call: 1\r\nContent-Length: 2\r\n\r\nhi", false),
			reason: refuse.AnswerLost, ran: refuse.RanUnknown,
		},
		"answer without an end is not passed on": {
			method: "POST", path: "/", prepare: raw("HTTP/1.1 200 OK\r\n\r\nhi", true), reason: refuse.AnswerLost, ran: refuse.RanUnknown,
		},
		"truncated answer of known length": {
			method: "POST", path: "/", prepare: raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", true),
			reason: refuse.AnswerLost, ran: refuse.RanUnknown,
		},
		"truncated answer in chunks": {
			method: "POST", path: "/", prepare: raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", true), broken: true,
		},
		"refusal of a nested call does not apply to this one": {
			method: "POST", path: "/", status: 503,
			prepare: raw("HTTP/1.1 503 X\r\nMarjoramcroft-Reason: CapReached\r\nMarjoramcroft-Ran: no\r\nContent-Length: 0\r\n\r\n", false),
		},
		"answer of a foreign server at a daemon's address": {
			method: "POST", path: "/", reason: refuse.AnswerLost, ran: refuse.RanUnknown,
			prepare: func(g *rig) {
				_ = g.servers[1].Close()
				g.script("d0", func(c net.Conn, _ *http.Request) {
					_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nMarjoramcroft-Reason: CapReached\r\nMarjoramcroft-Ran: no\r\nContent-Length: 0\r\n\r\n")
				})
			},
		},

		"shed is not run": {
			method: "POST", path: "/", prepare: raw("HTTP/1.1 503 X\r\nMarjoramcroft-Shed: not-run\r\nContent-Length: 0\r\n\r\n", false),
			reason: refuse.Shedding, ran: refuse.RanNo,
		},
		"shed non-idempotent call is retried": {
			daemons: 2, method: "POST", path: "/", status: 200, runs: 1,
			prepare: raw("HTTP/1.1 503 X\r\nMarjoramcroft-Shed: not-run\r\nContent-Length: 0\r\n\r\n", false),
		},
		"503 without the shed header is an answer": {method: "POST", path: "/?status=503", status: 503, runs: 1},

		"refusal after an attempt that may have run is not reported as not run": {
			daemons: 2, path: "/safe?crash=after", reason: refuse.QueueFull, ran: refuse.RanUnknown, runs: 1, crash: true,
			prepare: func(g *rig) {
				g.targets[1].d.Enter = func(context.Context, GateRequest) (func(GateOutcome), error) {
					return nil, refuse.NotRun(refuse.QueueFull, "")
				}
			},
		},

		"suspect refused":     {path: "/", prepare: refusing("Suspect", refuse.Poisoned), reason: refuse.Poisoned, ran: refuse.RanNo},
		"cap reached":         {path: "/", prepare: refusing("Acquire", refuse.CapReached), reason: refuse.CapReached, ran: refuse.RanNo},
		"gate full":           {path: "/", prepare: refusing("Enter", refuse.QueueFull), reason: refuse.QueueFull, ran: refuse.RanNo},
		"cap reached, upload": {method: "POST", path: "/", body: big, prepare: refusing("Acquire", refuse.CapReached), reason: refuse.CapReached, ran: refuse.RanNo},
		"refused upload is sent to another server": {
			daemons: 2, method: "POST", path: "/", body: big, status: 200, runs: 1,
			prepare: func(g *rig) { g.state["d0"] = emul.BackendDraining },
		},
		"oversized body is streamed": {method: "POST", path: "/", body: big, status: 200, runs: 1},
		"oversized body is not replayed after it was sent": {
			daemons: 2, method: "PUT", path: "/?crash=after", body: big, reason: refuse.AnswerLost, ran: refuse.RanUnknown, runs: 1, crash: true,
		},
		"backend server of another service": {
			path: "/", reason: refuse.NoServer, ran: refuse.RanNo,
			prepare: func(g *rig) {
				g.targets[0].d.Backend = func() Backend { return Backend{Service: "bookings", Addr: "b0"} }
			},
		},
		"target without the cap": {
			path: "/", reason: refuse.CapUnavailable, ran: refuse.RanNo,
			prepare: func(g *rig) {
				a, err := agree.New(2, rigRows()[:2])
				if err != nil {
					g.tb.Fatal(err)
				}
				g.targets[0].d.Agreement = func() *agree.Agreement { return a }
			},
		},

		"member unknown":   {path: "/", header: []string{HeaderMember, "x"}, reason: refuse.NoMember, ran: refuse.RanNo},
		"member missing":   {path: "/", header: []string{HeaderMember, ""}, reason: refuse.BadRequest, ran: refuse.RanNo},
		"no agreement yet": {path: "/", prepare: func(g *rig) { g.agr = agree.Empty() }, reason: refuse.NoAgreement, ran: refuse.RanNo},
		"key too long": {
			method: "POST", path: "/", header: []string{HeaderKey, strings.Repeat("k", MaxKey+1)}, reason: refuse.BadRequest, ran: refuse.RanNo,
		},
		"path with dots": {path: "/safe/../once", reason: refuse.BadRequest, ran: refuse.RanNo},
		"deepest chain":  {path: "/", header: []string{retry.HeaderDepth, "15"}, status: 200, runs: 1},
		"chain too deep": {path: "/", header: []string{retry.HeaderDepth, "16"}, reason: refuse.TooDeep, ran: refuse.RanNo},

		"deadline passed on arrival": {path: "/", header: []string{retry.HeaderDeadline, "1"}, reason: refuse.DeadlinePassed, ran: refuse.RanNo},
		"deadline passes in the run": {path: "/?time=9s", reason: refuse.DeadlinePassed, ran: refuse.RanUnknown, runs: 1},
		"deadline passes in a run of a non-idempotent call": {
			method: "POST", path: "/?time=9s", reason: refuse.AnswerLost, ran: refuse.RanUnknown, runs: 1,
		},
		"deadline passes in the body": {path: "/?size=100000", broken: true, prepare: func(g *rig) {
			raw("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 20000), false)(g)
		}},
		"deadline passes while the target waits for a slot": {
			method: "POST", path: "/", reason: refuse.DeadlinePassed, ran: refuse.RanNo,
			prepare: func(g *rig) {
				g.targets[0].d.Enter = func(ctx context.Context, _ GateRequest) (func(GateOutcome), error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
			},
		},
		"drain during a call does not interrupt it": {
			method: "POST", path: "/?time=1s", status: 200, runs: 1,
			during: func(g *rig) {
				if err := g.backends[0].Drain(context.Background()); err != nil {
					g.tb.Error(err)
				}
			},
		},
		"graceful stop does not interrupt a call": {
			method: "POST", path: "/?time=1s", status: 200, runs: 1,
			during: func(g *rig) {
				if err := g.targets[0].Stop(context.Background()); err != nil {
					g.tb.Error(err)
				}
				if err := g.entry.Stop(context.Background()); err != nil {
					g.tb.Error(err)
				}
			},
		},
		"stopped target is not run": {
			method: "POST", path: "/", reason: refuse.Draining, ran: refuse.RanNo,
			prepare: func(g *rig) { _ = g.targets[0].Stop(context.Background()) },
		},
	}
}

func TestFaults(t *testing.T) {
	for name, tt := range faultCases() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFault(t, tt) })
		})
	}
}

func runFault(t *testing.T, tt faultCase) {
	is := is.New(t)
	g := newRig(t, max(1, tt.daemons), tt.backend)
	defer g.close()
	if tt.prepare != nil {
		tt.prepare(g)
	}
	var body io.Reader
	if tt.body != nil {
		body = tt.body()
	}
	if tt.method == "" {
		tt.method = http.MethodGet
	}
	replies := make(chan reply, 1)
	go func() { replies <- g.call(t.Context(), tt.method, tt.path, "r1", body, tt.header...) }()
	if tt.during != nil {
		time.Sleep(100 * time.Millisecond)
		tt.during(g)
	}
	got := <-replies
	synctest.Wait()
	is.Equal(got.reason, tt.reason) // reason
	is.Equal(got.ran, tt.ran)       // ran
	is.Equal(got.err != nil, tt.broken)
	if tt.status != 0 {
		is.Equal(got.status, tt.status) // status
	}
	is.Equal(g.runs("r1"), tt.runs) // runs at the backend servers
	is.Equal(g.crashes > 0, tt.crash)
	if tt.crash && tt.daemons == 0 {
		is.Equal(g.cleared, 0) // a call that crashed its backend server has not completed
	}
	is.Equal(g.unitsInUse(), 0)             // units are returned
	is.Equal(len(g.outcomes), len(g.picks)) // every pick is reported
}

// TestWaitingReachesTheEntry guards against a queue length that is not reported to the entry
// daemon, and against internal headers in the response to the caller.
func TestWaitingReachesTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1, nil)
		defer g.close()
		synctest.Wait()
		g.targets[0].d.Waiting = func() int { return 7 }
		for i, daemon := range []string{"entry", "d0"} { // through another daemon, and directly at the daemon beside the backend server
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+daemon+"/", nil)
			is.NoErr(err)
			req.Header.Set(HeaderMember, "office")
			resp, err := g.client.RoundTrip(req)
			is.NoErr(err)
			_ = resp.Body.Close()
			synctest.Wait()
			is.Equal(resp.Header.Get(HeaderWaiting), "")
			is.Equal(g.outcomes[i].Waiting, 7)
		}
	})
}

// TestCompletedCallIsCleared guards against requests that stay suspects after they have
// completed.
func TestCompletedCallIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1, nil)
		defer g.close()
		synctest.Wait()
		is.Equal(g.call(t.Context(), http.MethodGet, "/", "r", nil).status, http.StatusOK)
		synctest.Wait()
		is.Equal(g.cleared, 1)
	})
}

// TestLateAnswerAfterRetry guards against taking the late answer of a cancelled attempt, or of
// another call on the same connection, for the answer of the current call.
func TestLateAnswerAfterRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1, nil)
		defer g.close()
		_ = g.backends[0].Close()
		n := 0
		g.script("b0", func(c net.Conn, r *http.Request) {
			id := r.Header.Get(HeaderCall)
			n++
			body := "answer " + strconv.Itoa(n)
			s := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderCall, id, len(body), body)
			_, _ = io.WriteString(c, s+s) // every answer is sent twice
		})
		for range 5 {
			got := g.call(t.Context(), http.MethodPost, "/", "r", nil)
			if got.reason == "" {
				is.Equal(got.body, "answer "+strconv.Itoa(n))
			} else {
				is.Equal(got.ran, refuse.RanUnknown)
			}
		}
	})
}

// TestReusedConnectionIsNotRetried guards against a second run caused by http.Transport: if a
// reused connection breaks, it resends requests that it considers idempotent by their method
// or by the header Idempotency-Key.
func TestReusedConnectionIsNotRetried(t *testing.T) {
	tests := map[string]struct {
		method, path string
		header       []string
	}{
		"GET of an unsafe route": {"GET", "/once", nil},
		"keyed call":             {"POST", "/", []string{HeaderKey, "k"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				_ = g.backends[0].Close()
				n := 0
				g.script("b0", func(c net.Conn, _ *http.Request) {
					if n++; n > 1 {
						_ = c.Close()
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				})
				is.Equal(g.call(t.Context(), "GET", "/", "r", nil).status, http.StatusOK)
				got := g.call(t.Context(), tt.method, tt.path, "r", nil, tt.header...)
				is.Equal(got.ran, refuse.RanUnknown)
				is.Equal(n, 2) // requests that reached the backend server
			})
		})
	}
}
