// Package stats counts what the daemons do, by name, through go-metrics.
package stats

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Set is a registry of the counters and gauges of one process.
type Set struct {
	r metrics.Registry
}

// New returns an empty Set.
func New() *Set {
	return &Set{r: metrics.NewRegistry()}
}

// Inc adds one to the counter name.
func (s *Set) Inc(name string) {
	s.Add(name, 1)
}

// Add adds n to the counter name.
func (s *Set) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, s.r).Inc(n)
}

// Gauge sets the gauge name to n.
func (s *Set) Gauge(name string, n int64) {
	metrics.GetOrRegisterGauge(name, s.r).Update(n)
}

// Refused counts a refusal under its reason and claim, "Refused.REASON.RAN".
func (s *Set) Refused(r *refuse.Refusal) {
	s.Inc("Refused." + string(r.Reason) + "." + string(r.Ran))
}

// Retried counts a retry under its reason, "Retried.REASON".
func (s *Set) Retried(reason string) {
	s.Inc("Retried." + reason)
}

// Value returns the value of the counter or gauge name; zero if there is none.
func (s *Set) Value(name string) int64 {
	switch m := s.r.Get(name).(type) {
	case metrics.Counter:
		return m.Count()
	case metrics.Gauge:
		return m.Value()
	default:
		return 0
	}
}

// All returns the values of all counters and gauges whose name has the prefix.
func (s *Set) All(prefix string) map[string]int64 {
	out := map[string]int64{}
	s.r.Each(func(name string, _ any) {
		if strings.HasPrefix(name, prefix) {
			out[name] = s.Value(name)
		}
	})
	return out
}

// Time adds d to the histogram name, in microseconds.
func (s *Set) Time(name string, d time.Duration) {
	h := s.r.GetOrRegister(name, func() metrics.Histogram {
		// The sample keeps the last minutes, as go-metrics recommends for timers.
		return metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015))
	})
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// Quantiles are the count and quantiles of a histogram, in microseconds.
type Quantiles struct {
	Count         int64
	P50, P99, Max float64
}

// Histograms returns the quantiles of all histograms.
func (s *Set) Histograms() map[string]Quantiles {
	out := map[string]Quantiles{}
	s.r.Each(func(name string, v any) {
		h, ok := v.(metrics.Histogram)
		if !ok {
			return
		}
		p := h.Snapshot().Percentiles([]float64{0.5, 0.99})
		out[name] = Quantiles{Count: h.Count(), P50: p[0], P99: p[1], Max: float64(h.Max())}
	})
	return out
}
