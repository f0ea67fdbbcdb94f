package retry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// TestBudget guards against a budget that grants the wrong number of attempts. Each case
// counts those granted after calls to one service.
func TestBudget(t *testing.T) {
	tests := map[string]struct {
		calls, takes int
		kind         Kind
		of           ident.ServiceID
		want         int
	}{
		"more than a share of the calls":          {100, 50, Hedge, "a", 4},
		"retries beside hedges outside the share": {100, 50, Failed, "a", 4},
		"first call of a daemon repeated":         {1, 5, Failed, "a", 0},
		"tokens of a quiet hour used at once":     {100000, 50, Hedge, "a", 10},
		"token of another service":                {100, 50, Hedge, "b", 0},
		"refused call not tried elsewhere":        {0, 5, NotRun, "a", 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			set := stats.New()
			b := NewBudget(DefaultShare, set)
			for range tt.calls {
				b.Call("a")
			}
			got := 0
			for range tt.takes {
				if b.Take(tt.of, tt.kind) {
					got++
				}
			}
			is.Equal(got, tt.want)
			is.Equal(int(set.Value("Retried."+string(tt.kind))), tt.want) // counted by kind
			is.Equal(int(set.Value("RetryDenied."+string(tt.kind))), tt.takes-tt.want)
		})
	}
}

func BenchmarkTake(b *testing.B) {
	budget := NewBudget(DefaultShare, stats.New())
	for b.Loop() {
		budget.Call("a")
		budget.Take("a", Hedge)
	}
}
