package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// newCutRig returns a rig on loopback whose only backend server ends its connections within answers.
func newCutRig(t *testing.T) (*rig, *emul.CutBackend) {
	t.Helper()
	is := is.New(t)
	g := newRigOn(emul.NewLoopback(), t, 1, nil)
	t.Cleanup(g.close)
	_ = g.backends[0].Close()
	ln, err := g.net.Listen("b0")
	is.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	b := &emul.CutBackend{}
	go b.Serve(ln)
	return g, b
}

// TestCutAnswers guards against an answer that ends early, at any byte of its head or body, and reaches the caller as a
// whole answer, or as the promise that the call has not run.
func TestCutAnswers(t *testing.T) {
	const shed = HeaderShed + ": " + ShedNotRun + "\r\n"
	tests := map[string]struct {
		forms   map[string]emul.AnswerForm
		refusal bool
		reset   bool
	}{
		"answer, closed":  {emul.AnswerForms("200 OK", ""), false, false},
		"answer, reset":   {emul.AnswerForms("200 OK", ""), false, true},
		"refusal, closed": {emul.RefusalForms("503 Full", shed), true, false},
		"refusal, reset":  {emul.RefusalForms("503 Full", shed), true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, b := newCutRig(t)
			for form, f := range tt.forms {
				answer := f.Head + f.Body
				for n := range len(answer) + 1 {
					b.Set(emul.CutAnswer{Bytes: answer[:n], Reset: tt.reset})
					got := g.call(t.Context(), f.Method, "/once", fmt.Sprint(form, n), nil)
					lost := got.err != nil || got.reason == refuse.AnswerLost && got.ran == refuse.RanUnknown
					switch {
					case tt.refusal && n >= len(f.Head):
						// A complete head says that the call has not run, whatever follows.
						if got.ran != refuse.RanNo || got.reason != refuse.Shedding {
							t.Errorf("%s, %d bytes: %+v", form, n, got)
						}
					case n == len(answer) && !f.UntilClose:
						if got.status != 200 || got.reason != "" || got.body != f.Content || got.err != nil {
							t.Errorf("%s: %+v", form, got)
						}
					case !lost:
						t.Errorf("%s, %q: %+v", form, answer[:n], got)
					}
				}
			}
		})
	}
}

// TestCutAnswerOldCaller guards against a cut answer that a caller of HTTP/1.0 takes for complete: it gets a body of
// unknown length without chunks, whose end is the close of the connection.
func TestCutAnswerOldCaller(t *testing.T) {
	is := is.New(t)
	g, b := newCutRig(t)
	f := emul.AnswerForms("200 OK", "")["chunks"]
	for n := range len(f.Body) {
		b.Set(emul.CutAnswer{Bytes: f.Head + f.Body[:n]})
		c, err := g.net.Dial(t.Context(), "tcp", "entry")
		is.NoErr(err)
		_, err = fmt.Fprintf(c, "GET /once HTTP/1.0\r\n%s: office\r\n%s: %d\r\n\r\n", HeaderMember, emul.HeaderRequest, n)
		is.NoErr(err)
		body, err := readAll(c)
		_ = c.Close()
		if err == nil && !strings.HasPrefix(body, "502") {
			t.Errorf("%q: got %q as a whole answer", f.Body[:n], body)
		}
		if err != nil && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %v", f.Body[:n], err)
		}
	}
}

// readAll returns the status and the body of an answer.
func readAll(r io.Reader) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", string(b)), err
}
