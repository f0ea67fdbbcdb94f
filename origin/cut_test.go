package origin

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
)

// TestCutAnswers guards against an answer that ends early, at any byte of its head or body, and is taken for complete:
// callers would get a success with a short body, or the promise that a request has not run that may have.
func TestCutAnswers(t *testing.T) {
	const fields = "X-Id: r1\r\nX-Stamp: s\r\n"
	tests := map[string]struct {
		forms  map[string]emul.AnswerForm
		status int
		reset  bool
	}{
		"answer, closed":  {emul.AnswerForms("200 OK", fields), 200, false},
		"answer, reset":   {emul.AnswerForms("200 OK", fields), 200, true},
		"refusal, closed": {emul.RefusalForms("503 Full", fields+"X-Not-Run: 1\r\n"), 503, false},
		"refusal, reset":  {emul.RefusalForms("503 Full", fields+"X-Not-Run: 1\r\n"), 503, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			b := &emul.CutBackend{}
			go b.Serve(ln)
			for form, f := range tt.forms {
				answer := f.Head + f.Body
				for n := range len(answer) + 1 {
					b.Set(emul.CutAnswer{Bytes: answer[:n], Reset: tt.reset})
					c := New(Deps{Addr: ln.Addr().String(), Names: testNames})
					r := newRequest("r1")
					r.Method = f.Method
					resp, err := c.Do(t.Context(), r, true)
					c.Close()
					ended := n == len(answer)
					if f.UntilClose {
						ended = n >= len(f.Head) && !tt.reset // the close is the end of the body
					}
					switch {
					case ended && err != nil:
						t.Errorf("%s, %d bytes: %v", form, n, err)
					case !ended && (!errors.Is(err, ErrLost) || resp != nil):
						t.Errorf("%s, %q: taken for complete: %+v, %v", form, answer[:n], resp, err)
					case n == len(answer) && ended && (resp.Status != tt.status || string(resp.Body) != f.Content):
						t.Errorf("%s: status %d, body %q", form, resp.Status, resp.Body)
					}
				}
			}
		})
	}
}
