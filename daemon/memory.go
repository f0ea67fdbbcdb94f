package daemon

import (
	"math"
	"runtime/debug"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// memoryLimitRatio is the soft memory limit of the Go runtime as a share of the memory that the process may take. The rest is
// left for what the runtime does not count, and for garbage while it collects.
const memoryLimitRatio = 0.6

// limitMemory sets the soft memory limit of the Go runtime, unless the operator has set one (GOMEMLIMIT).
func limitMemory(megabytes int) {
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(int64(megabytes)<<20)))
	}
}

// quietPeriod is the time without a new Version after which memory is returned to the system. A change
// of a large agreement leaves a second copy as garbage, which an idle daemon would keep for long.
const quietPeriod = 2 * time.Second

// freeMemoryAfterChanges returns unused memory to the system, quietPeriod after each change of the
// agreement.
func (d *Daemon) freeMemoryAfterChanges() {
	changed := make(chan struct{}, 1)
	d.OnVersion(func(ident.Version) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	d.wg.Go(func() {
		t := time.NewTimer(quietPeriod)
		defer t.Stop()
		for {
			select {
			case <-d.ctx.Done():
				return
			case <-changed:
				t.Reset(quietPeriod)
			case <-t.C:
				debug.FreeOSMemory()
			}
		}
	})
}
