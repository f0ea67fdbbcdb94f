package mesh

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestCutAnswersOverLink guards against an answer that ends early at the daemon beside the backend server, and that the
// daemon of the caller takes for complete, or for a request that has not run.
func TestCutAnswersOverLink(t *testing.T) {
	const fields = "X-Id: ID\r\nX-Stamp: s\r\n"
	tests := map[string]struct {
		forms map[string]emul.AnswerForm
		reset bool
		ran   refuse.Ran // after the whole answer
	}{
		"answer, closed":  {emul.AnswerForms("200 OK", fields), false, ""},
		"answer, reset":   {emul.AnswerForms("200 OK", fields), true, ""},
		"refusal, closed": {emul.RefusalForms("503 Full", fields+"X-Not-Run: 1\r\n"), false, refuse.RanNo},
		"refusal, reset":  {emul.RefusalForms("503 Full", fields+"X-Not-Run: 1\r\n"), true, refuse.RanNo},
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
			r := newTestCluster(t)
			r.configure(1, "s")
			entry, far := r.add(here, "none"), r.add(here, "s")
			for _, n := range []*testNode{entry, far} {
				eventually(t, "configuration", n.Ready)
			}
			far.backend.addr = ln.Addr().String()
			far.heartbeat(Ready)
			entry.waitForServers(t, "s", 1)
			for form, f := range tt.forms {
				answer := f.Head + f.Body
				for n := range len(answer) + 1 {
					before := b.Requests()
					b.Set(emul.CutAnswer{Bytes: answer[:n], Reset: tt.reset})
					now := entry.d.Now()
					a := entry.Serve(t.Context(), &Call{
						ID: "ID", Method: f.Method, URI: "/s/buy/", Path: "/s/buy/", Host: "h", Arrived: now, Deadline: now.Add(time.Second),
					})
					ended := n == len(answer)
					if f.UntilClose {
						ended = n >= len(f.Head) && !tt.reset
					}
					switch {
					case ended && tt.ran == "":
						if a.Refusal != nil || a.Status != 200 || n == len(answer) && string(a.Body) != f.Content {
							t.Errorf("%s, %d bytes: %+v, %v", form, n, a, a.Refusal)
						}
					case a.Refusal == nil:
						t.Errorf("%s, %q: taken for complete: %+v", form, answer[:n], a)
					case a.Refusal.Ran == refuse.RanNo && !ended && b.Requests() > before:
						t.Errorf("%s, %q: not run: %+v", form, answer[:n], a.Refusal)
					}
				}
			}
		})
	}
}
