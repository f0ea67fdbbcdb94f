package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/retry"
)

// endless is a reader without an end that counts the bytes read.
type endless struct{ n atomic.Int64 }

func (e *endless) Read(b []byte) (int, error) {
	e.n.Add(int64(len(b)))
	return len(b), nil
}

// TestSlowReader guards against buffering a large answer for a caller that does not read, and
// against keeping its slot beyond the deadline.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1, nil)
		defer g.close()
		_ = g.backends[0].Close()
		sent := &endless{}
		g.serve("b0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.Copy(w, sent)
		}))
		c, err := g.net.Dial(t.Context(), "", "entry")
		is.NoErr(err)
		defer c.Close()
		_, err = fmt.Fprintf(c, "GET /safe HTTP/1.1\r\nHost: x\r\n%s: office\r\n\r\n", HeaderMember)
		is.NoErr(err)
		time.Sleep(time.Second)
		is.True(sent.n.Load() < 1<<20) // bytes that the backend server sent to a reader that reads none
		is.Equal(g.unitsInUse(), 1)
		time.Sleep(5 * time.Second) // beyond the route's timeout
		is.Equal(g.unitsInUse(), 0)
	})
}

// TestStreamsBothWays guards against buffering. The caller sends the second part of the
// request only after it has received the first part of the response.
func TestStreamsBothWays(t *testing.T) {
	for _, daemon := range []string{"entry", "d0"} { // with and without a hop to another daemon
		t.Run(daemon, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				g.replaceBackend(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					rc := http.NewResponseController(w)
					_ = rc.EnableFullDuplex()
					_, _ = io.CopyN(io.Discard, r.Body, 2*MaxReplay)
					br := bufio.NewReader(r.Body)
					for {
						line, err := br.ReadString('\n')
						if err != nil {
							return
						}
						_, _ = io.WriteString(w, "got "+line)
						_ = rc.Flush()
					}
				}))
				pr, pw := io.Pipe()
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+daemon+"/", pr)
				is.NoErr(err)
				req.Header.Set(HeaderMember, "office")
				go func() {
					_, _ = io.WriteString(pw, strings.Repeat("b", 2*MaxReplay)+"a\n")
				}()
				resp, err := g.client.RoundTrip(req)
				is.NoErr(err)
				defer resp.Body.Close()
				br := bufio.NewReader(resp.Body)
				line, err := br.ReadString('\n')
				is.NoErr(err)
				is.Equal(line, "got a\n")
				go func() {
					_, _ = io.WriteString(pw, "b\n")
					_ = pw.Close()
				}()
				rest, err := io.ReadAll(br)
				is.NoErr(err)
				is.Equal(string(rest), "got b\n")
			})
		})
	}
}

// TestCancelledCaller guards against work that continues after the caller has disconnected.
func TestCancelledCaller(t *testing.T) {
	tests := map[string]struct {
		path string
		hold bool // the call waits for its slot
		runs int
	}{
		"during the run":            {path: "/?time=1s", runs: 1},
		"during a long call":        {path: "/long?time=30s", runs: 1},
		"while it waits for a slot": {path: "/", hold: true, runs: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				if tt.hold {
					g.targets[0].d.Enter = func(ctx context.Context, _ GateRequest) (func(GateOutcome), error) {
						<-ctx.Done()
						return nil, ctx.Err()
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				go g.call(ctx, http.MethodPost, tt.path, "r", nil)
				time.Sleep(100 * time.Millisecond)
				cancel()
				synctest.Wait()
				is.Equal(g.runs("r"), tt.runs)
				is.Equal(g.backends[0].Running(), 0) // the backend server has stopped work
				is.Equal(g.unitsInUse(), 0)
				picks, outcomes, crashes := g.counts()
				is.Equal(outcomes, picks)
				is.Equal(crashes, 0) // a cancelled request is no suspect
			})
		})
	}
}

// TestTruncatedUpload guards against taking an upload that breaks off for a complete one.
func TestTruncatedUpload(t *testing.T) {
	tests := map[string]struct{ size, runs int }{
		"short body is not forwarded": {1000, 0},
		"long body breaks at the end": {2 * MaxReplay, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				c, err := g.net.Dial(t.Context(), "", "entry")
				is.NoErr(err)
				_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\n%s: office\r\n%s: r\r\nContent-Length: %d\r\n\r\n%s",
					HeaderMember, emul.HeaderRequest, tt.size+1, strings.Repeat("b", tt.size))
				is.NoErr(err)
				_ = c.Close()
				synctest.Wait()
				is.Equal(g.backends[0].Completions("r"), tt.runs)
				is.Equal(g.unitsInUse(), 0)
				_, _, crashes := g.counts()
				is.Equal(crashes, 0) // the fault is with the caller, not the request
			})
		})
	}
}

// TestHedge guards against a slow server that delays idempotent calls, against waiting for the
// slower attempt, and against a second attempt of calls that must run once.
func TestHedge(t *testing.T) {
	tests := map[string]struct {
		method string
		first  string // service time of the server chosen first
		budget bool
		header []string
		runs   int
		within time.Duration // on the virtual clock
	}{
		"slow server":            {"GET", "1s", true, nil, 2, 200 * time.Millisecond},
		"fast server":            {"GET", "10ms", true, nil, 1, 200 * time.Millisecond},
		"no budget":              {"GET", "1s", false, nil, 1, 2 * time.Second},
		"chain that has retried": {"GET", "1s", true, []string{retry.HeaderRetried, "1"}, 1, 2 * time.Second},
		"not idempotent":         {"POST", "1s", true, nil, 1, 2 * time.Second},
		"long by observation":    {"GET", "1s", true, nil, 1, 2 * time.Second},
		"slow beyond timeout":    {"GET", "9s", true, nil, 2, 200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 2, nil)
				defer g.close()
				first, err := time.ParseDuration(tt.first)
				is.NoErr(err)
				g.backends[0].Slow(float64(first)/float64(time.Millisecond), time.Hour)
				g.hedge = 100 * time.Millisecond
				b := retry.NewBudget(1, g.stats)
				if tt.budget {
					b.Call("lessons")
				}
				g.entry.d.Retry.Take = b.Take
				if name == "long by observation" {
					g.entry.d.Class = func(RouteRequest) agree.Class { return agree.Long }
				}
				start := time.Now()
				got := g.call(t.Context(), tt.method, "/?time=1ms", "r", nil, tt.header...)
				is.Equal(got.body, "r\n")
				is.True(time.Since(start) < tt.within)
				synctest.Wait()
				picks, outcomes, _ := g.counts()
				is.Equal(outcomes, picks)
				is.Equal(g.backends[0].Runs("r")+g.backends[1].Runs("r"), tt.runs)
				is.Equal(g.stats.Value("Retried.Hedge"), int64(tt.runs-1)) // counted once
				is.Equal(g.backends[0].Running(), 0)                       // the slower attempt is cancelled
				is.Equal(g.unitsInUse(), 0)
			})
		})
	}
}
