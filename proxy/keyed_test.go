package proxy

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// TestKeyedRepeat guards against running a keyed call twice, and against a repeat that gets
// another answer than the first call.
func TestKeyedRepeat(t *testing.T) {
	tests := map[string]struct {
		path   string
		second string        // path of the repeat; that of the first call if empty
		after  time.Duration // between the first call and its repeat
		leave  bool          // the first caller disconnects
		body   string
		reason refuse.Reason
		ran    refuse.Ran
		runs   int
	}{
		"repeat after the answer":            {path: "/?time=10ms", after: time.Second, body: "first\n", runs: 1},
		"repeat while the first call runs":   {path: "/?time=1s", after: 100 * time.Millisecond, body: "first\n", runs: 1},
		"repeat after the first caller left": {path: "/?time=1s", after: 500 * time.Millisecond, leave: true, body: "first\n", runs: 1},
		"answer too large to keep":           {path: "/?size=5000", after: time.Second, reason: refuse.AnswerNotKept, ran: refuse.RanYes, runs: 1},
		"answer in chunks is kept":           {path: "/?size=10&chunked=1", after: time.Second, body: "first\nxxxx", runs: 1},
		"answer lost in a crash":             {path: "/?crash=after", after: time.Second, reason: refuse.KeyUnknown, ran: refuse.RanUnknown, runs: 1},
		"answer cut in a crash":              {path: "/?crash=mid&size=9000", after: time.Second, reason: refuse.KeyUnknown, ran: refuse.RanUnknown, runs: 1},
		"key of another request":             {path: "/", second: "/?time=1ms", after: time.Second, reason: refuse.KeyReused, ran: refuse.RanNo, runs: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRig(t, 1, nil)
				defer g.close()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go g.call(ctx, http.MethodPost, tt.path, "first", nil, HeaderKey, "k")
				if tt.leave {
					time.Sleep(tt.after / 2)
					cancel()
				}
				time.Sleep(tt.after)
				if tt.second == "" {
					tt.second = tt.path
				}
				got := g.call(t.Context(), http.MethodPost, tt.second, "second", nil, HeaderKey, "k")
				is.Equal(got.reason, tt.reason)
				is.Equal(got.ran, tt.ran)
				if tt.body != "" {
					is.Equal(got.body, tt.body) // the answer to the first call
				}
				is.Equal(g.runs("first"), tt.runs)
				is.Equal(g.runs("second"), 0)
			})
		})
	}
}

// TestKeyIsReleasedWhenNotRun guards against a key that stays claimed after its call was
// refused.
func TestKeyIsReleasedWhenNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1, nil)
		defer g.close()
		g.refusal["Acquire"] = refuse.NotRun(refuse.CapReached, "")
		got := g.call(t.Context(), http.MethodPost, "/", "first", nil, HeaderKey, "k")
		is.Equal(got.reason, refuse.CapReached)
		delete(g.refusal, "Acquire")
		got = g.call(t.Context(), http.MethodPost, "/", "second", nil, HeaderKey, "k")
		is.True(strings.HasPrefix(got.body, "second"))
		is.Equal(g.runs("second"), 1)
	})
}

// TestKeyHomeUnreachable guards against running a keyed call whose claim failed.
func TestKeyHomeUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1, nil)
		defer g.close()
		g.entry.d.Claim = func(context.Context, KeyRequest) (KeyVerdict, error) { return KeyVerdict{}, context.DeadlineExceeded }
		got := g.call(t.Context(), http.MethodPost, "/", "r", nil, HeaderKey, "k")
		is.Equal(got.reason, refuse.KeyHomeUnreachable)
		is.Equal(got.ran, refuse.RanUnknown)
		is.Equal(g.runs("r"), 0)
	})
}

// TestKeyedAnswerDoesNotWaitForHome guards against answers that are delayed by a slow home of
// the key.
func TestKeyedAnswerDoesNotWaitForHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRig(t, 1, nil)
		defer g.close()
		done := make(chan struct{})
		g.entry.d.Finish = func(context.Context, KeyRequest, StoredAnswer) error {
			<-done
			return nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second) // virtual
		defer cancel()
		got := g.call(ctx, http.MethodPost, "/", "r", nil, HeaderKey, "k") // returns before done
		close(done)
		is.Equal(got.body, "r\n")
	})
}
