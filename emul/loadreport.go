package emul

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the highest latency that the histograms can record.
const maxLatency = 10 * time.Minute

// maxBrokenCalls limits the calls that a report names.
const maxBrokenCalls = 30

// tally counts the outcomes of a Load.
type tally struct {
	short, long *hdrhistogram.Histogram // of answers, in µs
	statuses    map[int]int
	refusals    map[string]int
	broken      int
	brokenCalls []string
	unconnected int
	foreign     int
	good        int
	unsent      int
	repeats     int
}

func newTally() tally {
	return tally{
		short:    hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		long:     hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		statuses: map[int]int{},
		refusals: map[string]int{},
	}
}

func (t *tally) add(s *send) {
	o := s.outcome
	switch {
	case o.unconnected():
		t.unconnected++
		return
	case o.err != nil:
		t.broken++
		if len(t.brokenCalls) < maxBrokenCalls {
			t.brokenCalls = append(t.brokenCalls, s.describeBreak())
		}
		return
	case o.refusal != nil:
		t.refusals[string(o.refusal.Reason)+"."+string(o.refusal.Ran)]++
		return
	}
	t.statuses[o.status]++
	if o.foreign {
		t.foreign++
	}
	if o.status < http.StatusBadRequest {
		t.good++
	}
	h := t.short
	if s.kind.Long {
		h = t.long
	}
	// Latencies above maxLatency are recorded as maxLatency.
	_ = h.RecordValue(min(o.latency, maxLatency).Microseconds())
}

// describeBreak returns the call and the error of its connection in one line.
func (s *send) describeBreak() string {
	return fmt.Sprintf("call %s, %s %s at %s, planned at %s, after %s: %v", s.id, s.kind.Method, s.kind.Path, s.entry,
		s.planned.Format("15:04:05.000"), s.outcome.latency.Round(time.Millisecond), s.outcome.err)
}

// Latency summarises the latency of answers, from the planned time of the call to the end
// of its answer.
type Latency struct {
	Count                    int64
	P50, P90, P99, P999, Max time.Duration
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Latency{
		Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: time.Duration(h.Max()) * time.Microsecond,
	}
}

// String returns l in one line.
func (l Latency) String() string {
	return fmt.Sprintf("%d answers, p50 %s, p90 %s, p99 %s, p99.9 %s, max %s", l.Count, l.P50, l.P90, l.P99, l.P999, l.Max)
}

// Report is the result of a Load.
type Report struct {
	Seed     uint64
	Took     time.Duration
	Sent     int            // requests on the wire, repeats included
	Repeats  int            // sends with the key of an earlier one
	Unsent   int            // calls dropped by the limit on calls in flight
	Answers  map[int]int    // by status
	Refusals map[string]int // by REASON.RAN
	Broken   int            // connections that broke without a complete answer
	// BrokenCalls describes the first of those calls, with the errors of their connections.
	BrokenCalls []string
	// Unconnected counts the sends whose connection was refused; nothing of them was sent.
	Unconnected int
	Foreign     int     // answers that belong to another call
	Goodput     float64 // answers below status 400, per second
	Short       Latency
	Long        Latency
}

func (l *Load) report(took time.Duration) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := &l.tally
	return Report{
		Seed: l.cfg.Seed, Took: took, Sent: len(l.sends), Repeats: t.repeats, Unsent: t.unsent,
		Answers: maps.Clone(t.statuses), Refusals: maps.Clone(t.refusals), Broken: t.broken,
		BrokenCalls: slices.Clone(t.brokenCalls), Unconnected: t.unconnected, Foreign: t.foreign,
		Goodput: float64(t.good) / took.Seconds(), Short: latencyOf(t.short), Long: latencyOf(t.long),
	}
}

// Write writes r to w in human-readable form.
func (r Report) Write(w io.Writer) error {
	lines := []string{
		fmt.Sprintf("seed %d, %s: sent %d (repeats %d), unsent %d", r.Seed, r.Took.Round(time.Millisecond), r.Sent, r.Repeats, r.Unsent),
		fmt.Sprintf("goodput %.1f/s, broken connections %d, refused connections %d, answers of other calls %d",
			r.Goodput, r.Broken, r.Unconnected, r.Foreign),
	}
	for _, status := range slices.Sorted(maps.Keys(r.Answers)) {
		lines = append(lines, fmt.Sprintf("answer %d: %d", status, r.Answers[status]))
	}
	for _, name := range slices.Sorted(maps.Keys(r.Refusals)) {
		lines = append(lines, fmt.Sprintf("refused %s: %d", name, r.Refusals[name]))
	}
	for _, c := range r.BrokenCalls {
		lines = append(lines, "broken: "+c)
	}
	lines = append(lines, "short: "+r.Short.String(), "long: "+r.Long.String())
	for _, s := range lines {
		if _, err := fmt.Fprintln(w, s); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}
