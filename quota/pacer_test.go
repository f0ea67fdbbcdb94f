package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a surge of which only the first calls are reported for 100 ms, and against
// more than one exchange per SlowSyncInterval while demand stays unmet.
func TestPacerAllowsABurstOnly(t *testing.T) {
	is := is.New(t)
	var p pacer
	begin := time.Unix(1000, 0)
	now := begin
	for range 100 {
		now = now.Add(p.untilNext(now))
		p.record(now)
		if n := 1 + int(now.Sub(begin)/minSyncGap); n <= maxShortBurst {
			is.Equal(p.untilNext(now) <= minSyncGap, n < maxShortBurst)
		}
	}
	is.Equal(now.Sub(begin), (100-maxLongBurst)*SlowSyncInterval)
	is.Equal(p.untilNext(now.Add(maxShortBurst*FastSyncInterval)), time.Duration(0))
}

// Guards against slow exchanges in the first second of a surge.
func TestPacerAllowsALongBurst(t *testing.T) {
	for name, p := range map[string]pacer{"near": {}, "far": {slowKeeper: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			for range maxLongBurst {
				is.True(p.untilNext(now) <= FastSyncInterval)
				now = now.Add(p.untilNext(now))
				p.record(now)
			}
			now = now.Add(maxLongBurst * SlowSyncInterval)
			is.Equal(p.untilNext(now), time.Duration(0))
		})
	}
}

// Guards against a burst of exchanges whose answers arrive after the waiting calls have moved
// on.
func TestPacerIsSlowForASlowKeeper(t *testing.T) {
	is := is.New(t)
	p := pacer{slowKeeper: true}
	now := time.Unix(1000, 0)
	p.record(now)
	is.Equal(p.untilNext(now), FastSyncInterval)
	is.Equal(p.untilNext(now.Add(FastSyncInterval)), time.Duration(0))
}
