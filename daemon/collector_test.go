package daemon

import (
	"runtime/debug"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// gcPercent returns the current GC percentage.
func gcPercent() int {
	p := debug.SetGCPercent(100)
	debug.SetGCPercent(p)
	return p
}

// TestLoadsRestoreGCPercent guards against overlapping loads after which the process keeps the lowered
// GC percentage or loses the one that the operator has set.
func TestLoadsRestoreGCPercent(t *testing.T) {
	tests := map[string]struct{ before, during int }{
		"default":                    {100, loadGCPercent},
		"lower than during a load":   {10, 10},
		"collector off":              {-1, -1},
		"set higher by the operator": {400, loadGCPercent},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			defer debug.SetGCPercent(debug.SetGCPercent(tt.before))
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var tuner gcTuner
				first := tuner.begin()
				is.Equal(gcPercent(), tt.during)
				second := tuner.begin()
				first()
				time.Sleep(2 * quietPeriod)
				is.Equal(gcPercent(), tt.during) // the second load is still in progress
				second()
				is.Equal(gcPercent(), tt.during)
				time.Sleep(2 * quietPeriod)
				is.Equal(gcPercent(), tt.before)
			})
		})
	}
}
