package route

import "time"

// ewmaWeight is the weight of a new sample. With it, the average exceeds three times the median
// one or two calls after a tenfold slowdown.
const ewmaWeight = 0.25

// gauge tracks the latency and the calls in flight of one class at one server.
type gauge struct {
	ewma     float64 // microseconds, without the network round trip
	samples  int
	last     time.Duration // time of the last sample
	slow     int           // slow calls in a row
	inflight int
	startSum int64 // sum of the start times of the calls in flight, microseconds
}

func (g *gauge) begin(now time.Duration) {
	g.inflight++
	g.startSum += now.Microseconds()
}

func (g *gauge) end(start time.Duration) {
	g.inflight--
	g.startSum -= start.Microseconds()
}

func (g *gauge) observe(now time.Duration, us, median float64) {
	g.ewma = g.decayed(now, median)
	g.samples++
	g.last = now
	if g.samples == 1 {
		g.ewma = us
		return
	}
	g.ewma += ewmaWeight * (us - g.ewma)
}

// excessHalfLife is the time without samples after which the excess of a mean over the median of
// the servers counts half. Otherwise a server that was slow once would get no more calls.
const excessHalfLife = 5 * time.Second

func (g *gauge) decayed(now time.Duration, median float64) float64 {
	if g.ewma <= median || median <= 0 {
		return g.ewma
	}
	return median + (g.ewma-median)/(1+float64(now-g.last)/float64(excessHalfLife))
}

// expect returns the latency expected of another call: the observed mean, or the mean age
// of the calls in flight if that is higher. The age reveals a slowdown before any call has ended.
// median is the median latency of the servers.
func (g *gauge) expect(now time.Duration, rtt, median float64) float64 {
	mean := g.decayed(now, median)
	if g.inflight == 0 {
		return mean
	}
	return max(mean, g.age(now, rtt))
}

// age returns the mean age of the calls in flight, of which there is at least one.
func (g *gauge) age(now time.Duration, rtt float64) float64 {
	return float64(now.Microseconds()-g.startSum/int64(g.inflight)) - rtt
}

// stallFactor limits the total time that the calls in flight have spent at a server while none of
// them ended: beyond this multiple of the mean latency, of this server or of all if that is higher,
// the server counts as stalled. A server at its usual speed ends five calls in that time; the
// probability that it ends none is about e^-5, and the next call that ends corrects the error.
const stallFactor = 5

// stalled reports whether no call has ended for longer than the number of calls in flight explains. It
// reveals a slowdown before the first slow call has ended. median is the median latency of the servers.
func (g *gauge) stalled(now time.Duration, rtt, median float64) bool {
	if median <= 0 || g.inflight == 0 {
		return false
	}
	since := float64((now - g.last).Microseconds())
	return float64(g.inflight)*min(g.age(now, rtt), since) > stallFactor*max(median, g.ewma)
}
