package retry

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

var errTest = errors.New("test")

// maker returns AttemptFuncs whose attempts are n = 0, 1, 2... at servers of the same number.
func maker(send func(ctx context.Context, n int) (int, error), drop func(int)) AttemptFuncs[int, int] {
	n := -1
	return AttemptFuncs[int, int]{
		Choose: func(bool) (int, error) { n++; return n, nil },
		Prepare: func(n, _ int) AttemptFunc[int] {
			return func(ctx context.Context) (int, error) { return send(ctx, n) }
		},
		Cancel: func(int) {},
		Drop:   drop,
	}
}

func after(d time.Duration) func(ident.ServiceID, agree.Class) (time.Duration, bool) {
	return func(ident.ServiceID, agree.Class) (time.Duration, bool) { return d, true }
}

// TestDo guards against wrong decisions on hedges. Each case gives the duration in ms and the
// error of the two attempts; a hedge is due after 10 ms.
func TestDo(t *testing.T) {
	type attempt struct {
		takes time.Duration
		err   error
	}
	plan := Plan{Service: "a", Class: agree.Short, Idempotent: true}
	tests := map[string]struct {
		plan   Plan
		tokens int
		sends  [2]attempt
		sent   int
		value  int // -1: error
		took   time.Duration
	}{
		"hedge of a fast call":             {plan, 1, [2]attempt{{5, nil}, {1, nil}}, 1, 0, 5},
		"slow call without a hedge":        {plan, 1, [2]attempt{{100, nil}, {5, nil}}, 2, 1, 15},
		"hedge that beats a faster first":  {plan, 1, [2]attempt{{12, nil}, {5, nil}}, 2, 0, 12},
		"hedge outside the budget":         {plan, 0, [2]attempt{{100, nil}, {5, nil}}, 1, 0, 100},
		"hedge of a non-idempotent call":   {Plan{Service: "a", Class: agree.Short}, 1, [2]attempt{{100, nil}, {5, nil}}, 1, 0, 100},
		"hedge that reads the same body":   {Plan{Service: "a", Class: agree.Short, Idempotent: true, Streamed: true}, 1, [2]attempt{{100, nil}, {5, nil}}, 1, 0, 100},
		"hedge deeper in a retried chain":  {Plan{Service: "a", Class: agree.Short, Idempotent: true, Retried: true}, 1, [2]attempt{{100, nil}, {5, nil}}, 1, 0, 100},
		"second slot for a long job":       {Plan{Service: "a", Class: agree.Long, Idempotent: true}, 1, [2]attempt{{100, nil}, {5, nil}}, 1, 0, 100},
		"hedge that fails ends the call":   {plan, 1, [2]attempt{{100, nil}, {5, errTest}}, 2, 0, 100},
		"first that fails ends the hedge":  {plan, 1, [2]attempt{{12, errTest}, {50, nil}}, 2, 1, 60},
		"failure hidden by the hedger":     {plan, 1, [2]attempt{{12, errTest}, {50, errTest}}, 2, -1, 60},
		"hedge after a failure, not retry": {plan, 1, [2]attempt{{5, errTest}, {50, nil}}, 1, -1, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := NewBudget(1, stats.New())
				for range tt.tokens {
					b.Call("a")
				}
				d := Deps{Take: b.Take, HedgeAfter: after(10 * time.Millisecond)}
				var sent atomic.Int64
				var winner atomic.Value // context.Context of the attempt that is returned
				begin := time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				v, err := Do(ctx, d, tt.plan, maker(func(ctx context.Context, n int) (int, error) {
					sent.Add(1)
					if tt.value == n {
						winner.Store(ctx)
					}
					select {
					case <-time.After(tt.sends[n].takes * time.Millisecond):
						return n, tt.sends[n].err
					case <-ctx.Done():
						return n, ctx.Err()
					}
				}, func(int) {}))
				is.Equal(time.Since(begin), tt.took*time.Millisecond)
				is.Equal(int(sent.Load()), tt.sent)
				if tt.value < 0 {
					is.Equal(err, errTest)
				} else {
					is.NoErr(err)
					is.Equal(v, tt.value)
					is.NoErr(winner.Load().(context.Context).Err()) // the response can still be read
				}
				cancel()
				synctest.Wait()
				if tt.value >= 0 {
					is.True(winner.Load().(context.Context).Err() != nil)
				}
			})
		})
	}
}

// TestDoDropsTheLateValue guards against a leak: the late response of the slower attempt must
// be released.
func TestDoDropsTheLateValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBudget(1, stats.New())
		b.Call("a")
		d := Deps{Take: b.Take, HedgeAfter: after(time.Millisecond)}
		var dropped atomic.Int64
		dropped.Store(-1)
		v, err := Do(t.Context(), d, Plan{Service: "a", Class: agree.Short, Idempotent: true}, maker(func(_ context.Context, n int) (int, error) {
			time.Sleep(time.Duration(100-90*n) * time.Millisecond) // ignores the cancellation
			return n, nil
		}, func(n int) { dropped.Store(int64(n)) }))
		is.NoErr(err)
		is.Equal(v, 1)
		time.Sleep(time.Second)
		is.Equal(int(dropped.Load()), 0)
	})
}

// TestDoRetries guards against wrong decisions on retries. Each case lists the results of the
// attempts, one per server, each after 20 ms. A hedge is due after 10 ms if the case has
// hedging and tokens.
func TestDoRetries(t *testing.T) {
	notRun := refuse.NotRun(refuse.QueueFull, "")
	lost := refuse.New(refuse.AnswerLost, refuse.RanUnknown, "")
	noServer := refuse.NotRun(refuse.NoServer, "")
	tests := map[string]struct {
		results []error
		once    bool // not idempotent
		hedge   bool
		tokens  int
		reason  refuse.Reason // empty: response
		ran     refuse.Ran
		sent    int
		taken   map[Kind]int64
	}{
		"refused call not tried elsewhere": {
			results: []error{notRun, nil}, once: true, sent: 2, taken: map[Kind]int64{NotRun: 1},
		},
		"non-idempotent call run twice": {
			results: []error{lost, nil}, once: true, tokens: 1, reason: refuse.AnswerLost, ran: refuse.RanUnknown, sent: 1,
		},
		"retry after a run outside the budget": {
			results: []error{lost, nil}, reason: refuse.AnswerLost, ran: refuse.RanUnknown, sent: 1,
		},
		"not run reported after an attempt that ran": {
			results: []error{lost, notRun}, tokens: 1, reason: refuse.QueueFull, ran: refuse.RanUnknown, sent: 2,
			taken: map[Kind]int64{Failed: 1, NotRun: 1},
		},
		"reason of the refusal hidden by the lack of another server": {
			results: []error{notRun}, reason: refuse.QueueFull, ran: refuse.RanNo, sent: 1, taken: map[Kind]int64{NotRun: 1},
		},
		"call without a server": {reason: refuse.NoServer, ran: refuse.RanNo},
		"token spent on a hedge without another server": {
			results: []error{nil}, hedge: true, tokens: 1, sent: 1,
		},
		"hedge not counted as an attempt": {
			results: []error{lost, lost, nil}, hedge: true, tokens: 5, reason: refuse.AnswerLost, ran: refuse.RanUnknown, sent: 2,
			taken: map[Kind]int64{Hedge: 1},
		},
		"run of one attempt hidden by the refusal of its hedge": {
			results: []error{lost, notRun, nil}, hedge: true, tokens: 5, reason: refuse.AnswerLost, ran: refuse.RanUnknown, sent: 2,
			taken: map[Kind]int64{Hedge: 1},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				set := stats.New()
				b := NewBudget(1, set)
				for range tt.tokens {
					b.Call("a")
				}
				d := Deps{Next: DefaultPolicy().Next, Take: b.Take}
				if tt.hedge {
					d.HedgeAfter = after(10 * time.Millisecond)
				}
				var sent atomic.Int64
				m := maker(func(_ context.Context, n int) (int, error) {
					sent.Add(1)
					time.Sleep(20 * time.Millisecond)
					return n, tt.results[n]
				}, func(int) {})
				choose := m.Choose
				m.Choose = func(hedge bool) (int, error) {
					n, err := choose(hedge)
					if n >= len(tt.results) {
						err = noServer
					}
					return n, err
				}
				_, err := Do(t.Context(), d, Plan{Service: "a", Class: agree.Short, Idempotent: !tt.once}, m)
				if tt.reason == "" {
					is.NoErr(err)
				} else {
					is.Equal(refuse.From(err).Reason, tt.reason)
					is.Equal(refuse.From(err).Ran, tt.ran)
				}
				is.Equal(int(sent.Load()), tt.sent)
				for _, k := range []Kind{NotRun, Failed, Hedge} {
					is.Equal(set.Value("Retried."+string(k)), tt.taken[k])
				}
			})
		})
	}
}
