package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSharedKeepsTheBound guards against daemons that together repeat more than the shared budget allows,
// however the requests are spread over them.
func TestSharedKeepsTheBound(t *testing.T) {
	limits := SharedLimits{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
	tests := map[string][]int{ // requests a second by daemon
		"even":            {20, 20, 20, 20, 20, 20},
		"all at one":      {120, 0, 0, 0, 0, 0},
		"none":            {0, 0, 0, 0, 0, 0},
		"one daemon only": {50},
	}
	for name, loads := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			var daemons []*Shared
			for range loads {
				daemons = append(daemons, NewShared(limits, func() int { return len(loads) }, func() time.Time { return now }))
			}
			requests, taken := 0, 0
			for range 10 { // one window of seconds; every request and more want to be repeated
				for i, d := range daemons {
					for range loads[i] {
						d.Request("s")
						requests++
					}
					for range loads[i] + 20 {
						if d.Take("s") {
							taken++
						}
					}
				}
				now = now.Add(time.Second - time.Millisecond)
			}
			is.True(float64(taken) <= limits.Ratio*float64(requests)+limits.Slack)
		})
	}
}

// TestSharedForgets guards against a budget that stays used up after its window.
func TestSharedForgets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewShared(SharedLimits{Slack: 4, Window: 10 * time.Second}, func() int { return 1 }, func() time.Time { return now })
	for s.Take("s") {
	}
	now = now.Add(11 * time.Second)
	is.True(s.Take("s"))
}
