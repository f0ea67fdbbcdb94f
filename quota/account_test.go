package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Guards against units that are returned between two waves of demand and asked for again, and
// against units that are kept where the demand has ended.
func TestReportsUnmetDemandBetweenWaves(t *testing.T) {
	const now = time.Hour
	tests := map[string]struct {
		ago   time.Duration // since the report of three unmet calls
		ended time.Duration // since a call ended
		used  ident.Units
		calls int // refused since
		want  ident.Units
	}{
		"between two waves":                 {SyncInterval, time.Minute, 1, 0, 3},
		"a call has just ended":             {SyncInterval, unmetIdleLimit - 1, 0, 0, 3},
		"no call for some time":             {SyncInterval, unmetIdleLimit, 0, 0, 0},
		"the waves have ended":              {unmetMemory + 1, time.Minute, 1, 0, 0},
		"a smaller wave":                    {SyncInterval, time.Minute, 1, 2, 3},
		"a larger wave":                     {SyncInterval, time.Minute, 1, 5, 5},
		"a smaller wave after a long pause": {unmetMemory + 1, time.Minute, 1, 2, 2},
		"a smaller wave at an idle holder":  {SyncInterval, unmetIdleLimit, 0, 2, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := &admission{lastEnd: now - tt.ended}
			for range 3 {
				a.unmet.add(now - tt.ago)
			}
			is.Equal(a.takeUnmet(now-tt.ago, 1), ident.Units(3))
			for range tt.calls {
				a.unmet.add(now)
			}
			is.Equal(a.takeUnmet(now, tt.used), tt.want)
		})
	}
}
