// Package stats provides named counters, gauges and histograms on top of go-metrics.
package stats

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Set is the metrics registry of one process. It is safe for concurrent use.
type Set struct {
	registry metrics.Registry
}

// New returns an empty Set.
func New() *Set {
	return &Set{registry: metrics.NewRegistry()}
}

// Inc increments the counter name by one.
func (s *Set) Inc(name string) {
	s.Add(name, 1)
}

// Add adds n to the counter name.
func (s *Set) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(n)
}

// Gauge sets the gauge name to n.
func (s *Set) Gauge(name string, n int64) {
	metrics.GetOrRegisterGauge(name, s.registry).Update(n)
}

// Refused counts a refusal by its reason and by whether the request has run, as "Refused.REASON.RAN".
func (s *Set) Refused(r *refuse.Refusal) {
	s.Inc("Refused." + string(r.Reason) + "." + string(r.Ran))
}

// Retried counts a retry by its reason, as "Retried.REASON".
func (s *Set) Retried(reason string) {
	s.Inc("Retried." + reason)
}

// Value returns the value of the counter or gauge name, or zero if there is none.
func (s *Set) Value(name string) int64 {
	switch m := s.registry.Get(name).(type) {
	case metrics.Counter:
		return m.Count()
	case metrics.Gauge:
		return m.Value()
	default:
		return 0
	}
}

// All returns the values of all counters and gauges whose names start with prefix.
// Histograms are included with the value zero.
func (s *Set) All(prefix string) map[string]int64 {
	out := map[string]int64{}
	s.registry.Each(func(name string, _ any) {
		if strings.HasPrefix(name, prefix) {
			out[name] = s.Value(name)
		}
	})
	return out
}

// Time records d in the histogram name, in microseconds.
func (s *Set) Time(name string, d time.Duration) {
	h := s.registry.GetOrRegister(name, func() metrics.Histogram {
		// This sample, recommended by go-metrics for timers, is biased towards the last minutes.
		return metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015))
	})
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// Quantiles holds the count and the quantiles of a histogram. Quantiles are in microseconds.
type Quantiles struct {
	Count         int64
	P50, P99, Max float64
}

// Histograms returns the quantiles of all histograms by name.
func (s *Set) Histograms() map[string]Quantiles {
	out := map[string]Quantiles{}
	s.registry.Each(func(name string, v any) {
		h, ok := v.(metrics.Histogram)
		if !ok {
			return
		}
		p := h.Snapshot().Percentiles([]float64{0.5, 0.99})
		out[name] = Quantiles{Count: h.Count(), P50: p[0], P99: p[1], Max: float64(h.Max())}
	})
	return out
}
