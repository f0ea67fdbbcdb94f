package mesh

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/rate"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/spill"
)

// Config holds the settings of a Node.
type Config struct {
	// InForce is the time within which a configuration must be in force at all daemons that reach the store.
	InForce time.Duration
	// StoreLossTimeout is the time within which a daemon must detect that it lost the store. It limits how long a watch
	// waits, because a connection can fail without being closed.
	StoreLossTimeout time.Duration
	// Lease is how long the store keeps the entry of a daemon that no longer renews it.
	Lease time.Duration
	// BootstrapWait is how long a starting daemon waits for the state from another one before it reads the whole
	// state from the store.
	BootstrapWait time.Duration
	// RegisterWait is how long a starting daemon waits for the first heartbeat of its backend server before it
	// writes its entry, so that one write is enough.
	RegisterWait time.Duration
	// Retries limits the retries of all daemons together.
	Retries retry.SharedBudgetLimits
	// Rates limit how far the calls of an account may exceed its rate limit over all daemons.
	Rates rate.Bounds
	// MaxBody is the maximum body size of a request or response, in bytes.
	MaxBody int64
	// BodyMemory limits the memory of all response bodies that are being read, in bytes.
	BodyMemory int64
	// RequestMemory limits the memory of requests in progress, with the answers and frames that wait to be written, in
	// bytes. Further requests are refused.
	RequestMemory int64
	// LinkRate is the rate of the VM's link, in bytes a second; zero: not known, nothing is paced.
	LinkRate float64
	// Pacing says when what is sent to other daemons is paced, if LinkRate is known.
	Pacing Pacing
	// Spill holds the costs of requests that leave the data centre.
	Spill spill.Config
	// FrameMemory limits the memory of the frames that are being read from unidentified links, in bytes: those whose
	// daemon has not sent its state yet.
	FrameMemory int64
	// MaxUnidentified limits the number of unidentified links; zero: no limit.
	MaxUnidentified int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		InForce:          2500 * time.Millisecond,
		StoreLossTimeout: 3 * time.Second,
		Lease:            12 * time.Second,
		BootstrapWait:    2500 * time.Millisecond,
		RegisterWait:     1600 * time.Millisecond,
		Retries:          retry.SharedBudgetLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Rates:            rate.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
		MaxBody:          7 << 20,
		BodyMemory:       64 << 20,
		RequestMemory:    64 << 20,
		Pacing:           PacingAuto,
		Spill:            spill.DefaultConfig(),
		FrameMemory:      64 << 20,
	}
}

// WatchWait returns how long a watch of the store waits for a change.
func (c Config) WatchWait() time.Duration {
	return min(c.StoreLossTimeout*6/10, c.inForceShare(watchShare))
}
