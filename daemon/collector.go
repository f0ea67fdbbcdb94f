package daemon

import (
	"runtime/debug"
	"sync"
	"time"
)

const (
	// loadGCPercent replaces GOGC while a large agreement is loaded and forwarded. With the default of
	// 100, garbage grows to the size of the live agreements before it is collected.
	loadGCPercent = 25
	// An agreement counts as large, about 4,000 rows, from a compressed snapshot of
	// largeSnapshotBytes or from largeChunkCount chunks in the store. Smaller ones are loaded within
	// the collector's min heap of 4 MB.
	largeSnapshotBytes = 8 << 10
	largeChunkCount    = 8
)

// loadGC lowers the GC percentage while a large agreement is loaded. All daemons of a process share it,
// because the percentage applies to the whole process.
var loadGC gcTuner

// gcTuner lowers the GC percentage while at least one load is in progress.
type gcTuner struct {
	mu      sync.Mutex
	running int // loads in progress
	saved   int // percentage to restore
}

// begin lowers the GC percentage until quietPeriod after the returned function is called.
func (t *gcTuner) begin() (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == 0 {
		t.saved = debug.SetGCPercent(loadGCPercent)
		if t.saved < loadGCPercent {
			debug.SetGCPercent(t.saved) // the operator has set a lower one or switched the collector off
		}
	}
	t.running++
	return func() { time.AfterFunc(quietPeriod, t.end) }
}

func (t *gcTuner) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running--; t.running == 0 {
		debug.SetGCPercent(t.saved)
	}
}
