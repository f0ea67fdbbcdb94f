package route

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	recentWindow       = 5 * time.Second
	recentRefresh      = 100 * time.Millisecond // computing a quantile reads the whole histogram
	minQuantileSamples = 20                     // fewer samples do not determine a 95th percentile
)

// latencyWindow estimates the 95th percentile of the latencies of the last two windows.
type latencyWindow struct {
	h       *hdrhistogram.WindowedHistogram
	rotated time.Duration
	updated time.Duration
	p95     time.Duration
	n       int64
}

func newLatencyWindow() *latencyWindow {
	// Microseconds up to ten minutes with one significant digit: about 3 KB per window.
	return &latencyWindow{h: hdrhistogram.NewWindowed(2, 1, int64(10*time.Minute/time.Microsecond), 1)}
}

func (r *latencyWindow) add(now, latency time.Duration) {
	if now-r.rotated > recentWindow {
		if now-r.rotated > 2*recentWindow {
			r.h.Rotate()
		}
		r.h.Rotate()
		r.rotated = now
	}
	// Values above the range cannot occur: the longest timeout is shorter.
	_ = r.h.Current.RecordValue(max(1, latency.Microseconds()))
}

func (r *latencyWindow) quantile(now time.Duration) (time.Duration, bool) {
	if r.updated == 0 || now-r.updated >= recentRefresh {
		m := r.h.Merge()
		r.n = m.TotalCount()
		r.p95 = time.Duration(m.ValueAtQuantile(95)) * time.Microsecond
		r.updated = now
	}
	return r.p95, r.n >= minQuantileSamples
}
