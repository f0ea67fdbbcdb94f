package route

import "time"

// Config holds the settings of a Chooser.
type Config struct {
	// RoundTrip is the network round trip to a server in the same data centre, in the same
	// region and across regions. It is subtracted before servers are compared, so that
	// distance does not count as slowness.
	RoundTrip [3]time.Duration
	// SlowFactor times the median latency of the service's servers is the latency above which a server is slow.
	SlowFactor float64
	// SlowFloor is the least excess over the median that marks a server as slow.
	SlowFloor time.Duration
	// WarmUp is the time over which a cold server's share of the traffic rises to its full share.
	WarmUp time.Duration
	// ProbeEvery is the first interval between calls sent to a server on probation.
	ProbeEvery time.Duration
	// ProbeCalls is the number of calls of the service between two such calls.
	ProbeCalls int
	// RefusalPause is the first pause after a refusal; it doubles up to 32 times its value.
	RefusalPause time.Duration
	// HintAge is the age at which a load report is ignored.
	HintAge time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		RoundTrip:    [3]time.Duration{0, time.Millisecond, 40 * time.Millisecond},
		SlowFactor:   3,
		SlowFloor:    2 * time.Millisecond,
		WarmUp:       5 * time.Second,
		ProbeEvery:   250 * time.Millisecond,
		ProbeCalls:   200, // 0.5% of the calls, which the 99th percentile does not show
		RefusalPause: 20 * time.Millisecond,
		HintAge:      time.Second,
	}
}
