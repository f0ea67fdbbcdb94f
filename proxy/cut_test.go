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
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// newCutRig returns a rig on loopback whose only backend server b0 or daemon d0, as addr says, ends its connections
// within answers. All calls have the id 7.
func newCutRig(t *testing.T, addr string) (*rig, *emul.CutBackend) {
	t.Helper()
	is := is.New(t)
	g := newRigOn(emul.NewLoopback(), t, 1, nil)
	t.Cleanup(g.close)
	// The daemon and the backend server accept connections, so that closing them releases their addresses.
	is.Equal(g.call(t.Context(), http.MethodGet, "/once", "first", nil).status, http.StatusOK)
	g.entry.d.NewCall = func() ident.CallID { return 7 }
	_ = g.backends[0].Close()
	if addr == "d0" {
		_ = g.servers[1].Close()
	}
	ln, err := g.net.Listen(addr)
	is.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	b := &emul.CutBackend{}
	go b.Serve(ln)
	return g, b
}

// TestCutAnswers guards against an answer of a backend server or of the daemon beside it that ends early, at any byte of
// its head or body, and reaches the caller as a whole answer, or as the promise that the call has not run.
func TestCutAnswers(t *testing.T) {
	call := HeaderCall + ": " + ident.CallID(7).String() + "\r\n"
	type source struct {
		addr    string
		refusal string // further fields of a refusal
		reason  refuse.Reason
	}
	sources := map[string]source{
		"backend server": {"b0", HeaderShed + ": " + ShedNotRun + "\r\n", refuse.Shedding},
		"daemon":         {"d0", refuse.HeaderReason + ": CapReached\r\n" + refuse.HeaderRan + ": no\r\n", refuse.CapReached},
	}
	for name, src := range sources {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				t.Parallel()
				g, b := newCutRig(t, src.addr)
				// cut returns what the caller gets for the first n bytes of the answer.
				cut := func(method, answer string, n int) reply {
					b.Set(emul.CutAnswer{Bytes: answer[:n], Reset: reset})
					return g.call(t.Context(), method, "/once", "r", nil)
				}
				lost := func(r reply) bool { return r.err != nil || r.reason == refuse.AnswerLost && r.ran == refuse.RanUnknown }
				for form, f := range emul.AnswerForms("200 OK", call) {
					answer := f.Head + f.Body
					for n := range len(answer) + 1 {
						got := cut(f.Method, answer, n)
						whole := got.status == 200 && got.reason == "" && got.body == f.Content && got.err == nil
						if n == len(answer) && !f.UntilClose && !whole || (n < len(answer) || f.UntilClose) && !lost(got) {
							t.Errorf("%s, %q: %+v", form, answer[:n], got)
						}
					}
				}
				for form, f := range emul.RefusalForms("503 Full", call+src.refusal) {
					answer := f.Head + f.Body
					for n := range len(answer) + 1 {
						got := cut(f.Method, answer, n)
						if n < len(f.Head) && !lost(got) {
							t.Errorf("refusal, %s, %q: %+v", form, answer[:n], got)
						}
						// A complete head says that the call has not run; one of a daemon has a length or chunks.
						refused := got.ran == refuse.RanNo && got.reason == src.reason
						endless := src.addr == "d0" && f.UntilClose && lost(got)
						if n >= len(f.Head) && !refused && !endless {
							t.Errorf("refusal, %s, %q: %+v", form, answer[:n], got)
						}
					}
				}
			})
		}
	}
}

// TestCutAnswerOldCaller guards against a cut answer that a caller of HTTP/1.0 takes for complete: it gets a body of
// unknown length without chunks, whose end is the close of the connection.
func TestCutAnswerOldCaller(t *testing.T) {
	is := is.New(t)
	g, b := newCutRig(t, "b0")
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
