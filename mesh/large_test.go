package mesh

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestLargeAnswersOverLink guards against an answer that does not fit into a frame of a link and is dropped, so that the
// caller waits until its deadline.
func TestLargeAnswersOverLink(t *testing.T) {
	tests := map[string]struct {
		request, answer int // bytes of the bodies
		header          int // fields of the request, of 1 KB
		fields          int // short fields of the answer
		lost            bool
		ran             refuse.Ran
	}{
		"largest answer":                    {answer: origin.MaxResponseBytes, fields: 6000},
		"answer above the limit":            {answer: origin.MaxResponseBytes + 1, lost: true, ran: refuse.RanUnknown},
		"largest request":                   {request: int(DefaultConfig().MaxBody), header: 16},
		"request above the size of a frame": {request: int(DefaultConfig().MaxBody), header: 1100, lost: true, ran: refuse.RanNo},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newTestCluster(t)
			r.configure(1, "s")
			entry, far := r.add(here, "none"), r.add(here, "s")
			for _, n := range []*testNode{entry, far} {
				eventually(t, "configuration", n.Ready)
			}
			far.heartbeat(Ready)
			entry.waitForServers(t, "s", 1)
			far.backend.set(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				for i := range tt.fields {
					w.Header().Set(fmt.Sprintf("H%d", i), "")
				}
				w.Header().Set("Content-Length", fmt.Sprint(tt.answer))
				_, _ = w.Write(bytes.Repeat([]byte("x"), tt.answer))
			})
			h := http.Header{}
			for i := range tt.header {
				h.Set(fmt.Sprintf("H%d", i), strings.Repeat("h", 1<<10))
			}
			now := time.Now()
			a := entry.Serve(t.Context(), &Call{
				ID: "ID", Method: "POST", URI: "/s/buy/", Path: "/s/buy/", Host: "h", Header: h,
				Body: make([]byte, tt.request), Arrived: now, Deadline: now.Add(20 * time.Second),
			})
			if tt.lost {
				is.True(a.Refusal != nil)
				is.Equal(a.Refusal.Ran, tt.ran)
				is.True(a.Refusal.Reason != refuse.DeadlinePassed)
				return
			}
			is.Equal(a.Refusal, nil)
			is.Equal(a.Status, http.StatusOK)
			is.Equal(len(a.Body), tt.answer)
			is.True(len(a.Header) >= tt.fields)
		})
	}
}
