package emul

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

type idleListener struct{ done chan struct{} }

func (n idleListener) Accept() (net.Conn, error) {
	<-n.done
	return nil, net.ErrClosed
}
func (n idleListener) Close() error   { close(n.done); return nil }
func (n idleListener) Addr() net.Addr { return &net.TCPAddr{} }

func listenIdle(string) (net.Listener, error) { return idleListener{make(chan struct{})}, nil }

func TestCheckFinds(t *testing.T) {
	once := LoadKind{Once: true}
	tests := map[string]struct {
		outcome outcome
		runs    int
		want    []ViolationKind
	}{
		"refusal as not run that ran":        {outcome{refusal: refuse.NotRun(refuse.CapReached, "")}, 1, []ViolationKind{FalseNotRun}},
		"refusal as not run that is true":    {outcome{refusal: refuse.NotRun(refuse.CapReached, "")}, 0, nil},
		"refusal as run that did not run":    {outcome{refusal: refuse.New(refuse.AnswerNotKept, refuse.RanYes, "")}, 0, []ViolationKind{FalseRan}},
		"unknown that ran":                   {outcome{refusal: refuse.New(refuse.AnswerLost, refuse.RanUnknown, "")}, 1, nil},
		"unknown that did not run":           {outcome{refusal: refuse.New(refuse.AnswerLost, refuse.RanUnknown, "")}, 0, nil},
		"second run":                         {outcome{status: 200}, 2, []ViolationKind{RanTwice}},
		"answer without a run":               {outcome{status: 200}, 0, []ViolationKind{AnswerNotRun}},
		"answer to another call":             {outcome{status: 200, foreign: true}, 1, []ViolationKind{ForeignAnswer}},
		"broken connection makes no promise": {outcome{err: net.ErrClosed}, 0, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLoad(LoadConfig{})
			l.sends = []*send{{call: "1", id: "1.0", kind: once, outcome: tt.outcome}}
			var got []ViolationKind
			for _, v := range l.Check(func(string) int { return tt.runs }) {
				got = append(got, v.Kind)
			}
			is.Equal(got, tt.want)
		})
	}
}

// TestCheckJoinsRepeats guards against missing the second run of a call whose sends ran once each.
func TestCheckJoinsRepeats(t *testing.T) {
	is := is.New(t)
	l := NewLoad(LoadConfig{})
	for _, id := range []string{"1.0", "1.1"} {
		l.sends = append(l.sends, &send{call: "1", id: id, kind: LoadKind{Once: true}, outcome: outcome{status: 200}})
	}
	is.Equal(l.Check(func(string) int { return 1 }), []Violation{{RanTwice, "1", 2}})
	is.Equal(len(l.Check(func(id string) int { return map[string]int{"1.0": 1}[id] })), 0) // the repeat got the first answer
}

// TestLoadIsSeeded guards against loads that a seed does not reproduce.
func TestLoadIsSeeded(t *testing.T) {
	is := is.New(t)
	cfg := DefaultLoad()
	cfg.Entries = []ident.Addr{"a", "b", "c"}
	now := time.Now()
	a, b := NewLoad(cfg), NewLoad(cfg)
	cfg.Seed = 1
	c := NewLoad(cfg)
	same := 0
	for range 100 {
		x, y, z := a.plan(now), b.plan(now), c.plan(now)
		is.Equal(x, y)
		is.Equal(a.interarrival(), b.interarrival())
		same += map[bool]int{true: 1}[x.entry == z.entry && x.kind == z.kind]
	}
	is.True(same < 100)
}

// TestLoadIsOpenLoop guards against a load that slows down when the servers do, and against a
// latency that does not include the wait before sending.
func TestLoadIsOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLoad(LoadConfig{
			Entries: []ident.Addr{"x"}, Mix: []LoadKind{{Weight: 1, Method: http.MethodGet, Path: "/"}},
			Rate: 100, For: 10 * time.Second, MaxInFlight: 5000,
			Surges: []Surge{{At: 5 * time.Second, For: time.Second, Factor: 10}},
			Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-time.After(20 * time.Second) // no call is answered while the load is sent
				return nil, net.ErrClosed
			},
		})
		r, err := l.Run(t.Context())
		is.NoErr(err)
		is.Equal(r.Broken, r.Sent)
		is.Equal(len(r.BrokenCalls), maxBrokenCalls)
		is.True(strings.Contains(r.BrokenCalls[0], net.ErrClosed.Error())) // the error is named
		is.True(r.Sent > 1700 && r.Sent < 2100)                            // 9 s at 100/s and 1 s at 1,000/s, with the random deviation
		is.Equal(r.Unsent, 0)
	})
}

// TestLoadAgainstBackend guards against a check that finds violations in the run counts of a
// correct backend server.
func TestLoadAgainstBackend(t *testing.T) {
	is := is.New(t)
	b, _ := startBackend(t, BackendConfig{ShortTime: time.Millisecond, Slots: 50})
	cfg := DefaultLoad()
	cfg.Entries, cfg.For, cfg.Rate = []ident.Addr{b.Addr()}, 200*time.Millisecond, 500
	for i := range cfg.Mix {
		cfg.Mix[i].Keyed = false // a backend server does not know keys
	}
	l := NewLoad(cfg)
	r, err := l.Run(t.Context())
	is.NoErr(err)
	is.True(r.Answers[http.StatusOK] > 0)
	is.Equal(r.Foreign, 0)
	is.Equal(len(l.Check(TotalRuns(b))), 0)
}
