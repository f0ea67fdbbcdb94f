package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestRefusalAfterDeadline guards against a call that ends without an answer, since its refusal is written after the time
// in which an answer may be written.
func TestRefusalAfterDeadline(t *testing.T) {
	tests := map[string]struct {
		edit   func(*rig)
		reason refuse.Reason
		ran    refuse.Ran
	}{
		"keyed call, its home unreachable": {
			edit: func(g *rig) {
				g.entry.d.Finish = func(ctx context.Context, _ KeyRequest, _ StoredAnswer) error {
					<-ctx.Done()
					return ctx.Err()
				}
			},
			reason: refuse.AnswerLost, ran: refuse.RanUnknown,
		},
		"claim answered late": {
			edit: func(g *rig) {
				g.entry.d.Claim = func(ctx context.Context, _ KeyRequest) (KeyVerdict, error) {
					<-ctx.Done()
					time.Sleep(finishTimeout) // as when the claim is withdrawn
					return KeyVerdict{}, refuse.New(refuse.KeyHomeUnreachable, refuse.RanUnknown, "")
				}
			},
			reason: refuse.KeyHomeUnreachable, ran: refuse.RanUnknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				g.replaceBackend(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					<-r.Context().Done() // works until the call is given up
				}))
				tt.edit(g)
				c, err := g.net.Dial(t.Context(), "tcp", "entry")
				is.NoErr(err)
				defer c.Close()
				_, err = fmt.Fprintf(c, "POST /once HTTP/1.1\r\nHost: x\r\n%s: office\r\n%s: k\r\nContent-Length: 0\r\n\r\n",
					HeaderMember, HeaderKey)
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err) // without an answer, the connection ends
				defer resp.Body.Close()
				is.Equal(resp.StatusCode, tt.reason.Status())
				is.Equal(refuse.FromResponse(resp.Header).Reason, tt.reason)
				is.Equal(refuse.FromResponse(resp.Header).Ran, tt.ran)
			})
		})
	}
}

// TestAnswerAfterDeadline guards against a call that ends without an answer although its backend server has answered in
// time, since the daemon is slow and writes the answer after the time in which one may be written.
func TestAnswerAfterDeadline(t *testing.T) {
	for name, key := range map[string]string{"call": "", "keyed call": HeaderKey + ": k\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				choose := g.entry.d.Choose
				g.entry.d.Choose = func(req RouteRequest) (Pick, error) {
					p, err := choose(req)
					done := p.Done
					p.Done = func(o Outcome) {
						done(o)
						time.Sleep(2*time.Second + 2*writeGrace) // as a process that gets no processor
					}
					return p, err
				}
				c, err := g.net.Dial(t.Context(), "tcp", "entry")
				is.NoErr(err)
				defer c.Close()
				_, err = fmt.Fprintf(c, "POST /once HTTP/1.1\r\nHost: x\r\n%s: office\r\n%s: r\r\n%sContent-Length: 0\r\n\r\n",
					HeaderMember, emul.HeaderRequest, key)
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err) // without an answer, the connection ends
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.Equal(string(body), "r\n")
			})
		})
	}
}

// slowBody is a request body that takes a time to read.
type slowBody struct {
	io.ReadCloser
	takes time.Duration
}

func (b slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.takes)
	return b.ReadCloser.Read(p)
}

// TestBodyReadAfterDeadline guards against a call that ends without an answer, since the daemon is slow and comes to read
// the body after the time in which an answer may be written.
func TestBodyReadAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1, nil)
		defer g.close()
		g.serve("slow", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Body = slowBody{r.Body, 2*time.Second + 2*writeGrace}
			g.entry.ServeHTTP(w, r)
		}))
		c, err := g.net.Dial(t.Context(), "tcp", "slow")
		is.NoErr(err)
		defer c.Close()
		_, err = fmt.Fprintf(c, "POST /once HTTP/1.1\r\nHost: x\r\n%s: office\r\n%s: r\r\nContent-Length: 4\r\n\r\nbo",
			HeaderMember, emul.HeaderRequest)
		is.NoErr(err)
		go func() { _, _ = io.WriteString(c, "dy") }() // in a packet of its own
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err) // without an answer, the connection ends
		defer resp.Body.Close()
		is.Equal(refuse.FromResponse(resp.Header), refuse.New(refuse.DeadlinePassed, refuse.RanNo, ""))
		is.Equal(g.runs("r"), 0)
	})
}

// slowWriter is a response writer that takes a time to write.
type slowWriter struct {
	http.ResponseWriter
	takes time.Duration
}

func (w slowWriter) WriteHeader(status int) {
	time.Sleep(w.takes)
	w.ResponseWriter.WriteHeader(status)
}

func (w slowWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestSlowWrite guards against a call that ends without an answer, since a daemon on a busy machine takes longer to write
// a response that it has at hand than a reader may take to read one after the deadline.
func TestSlowWrite(t *testing.T) {
	tests := map[string]struct {
		path   string
		status int
	}{
		"answer at the deadline":  {path: "/once?time=1900ms", status: http.StatusOK},
		"refusal at the deadline": {path: "/once?time=3s", status: refuse.AnswerLost.Status()},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				g.serve("slow", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					g.entry.ServeHTTP(slowWriter{w, 2 * writeGrace}, r)
				}))
				got := g.callAt(t.Context(), "slow", http.MethodPost, tt.path, "r", nil)
				is.NoErr(got.err) // without an answer, the connection ends
				is.Equal(got.status, tt.status)
			})
		})
	}
}
