package mesh

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/retry"
)

// Config holds the settings of a Node.
type Config struct {
	// StoreLossTimeout is the time within which a daemon must detect that it lost the store. It limits how long a watch
	// waits, because a connection can fail without being closed.
	StoreLossTimeout time.Duration
	// Lease is how long the store keeps the entry of a daemon that no longer renews it.
	Lease time.Duration
	// Retries limits the retries of all daemons together.
	Retries retry.SharedBudgetLimits
	// MaxBody is the maximum body size of a request or response, in bytes.
	MaxBody int64
	// BodyMemory limits the memory of all response bodies that are being read, in bytes.
	BodyMemory int64
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		StoreLossTimeout: 3 * time.Second,
		Lease:            4 * time.Second,
		Retries:          retry.SharedBudgetLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		MaxBody:          7 << 20,
		BodyMemory:       64 << 20,
	}
}

// WatchWait returns how long a watch of the store waits for a change.
func (c Config) WatchWait() time.Duration { return c.StoreLossTimeout * 6 / 10 }
