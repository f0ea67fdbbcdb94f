package mesh

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/retry"
)

// Config holds the settings of a Node.
type Config struct {
	// Touch is the time within which a daemon has to notice that it lost the store: a part of it is the
	// longest wait of a watch, since a connection may go silent without an end.
	Touch time.Duration
	// Lease is how long the store keeps the entry of a daemon that is silent.
	Lease time.Duration
	// Retries bounds the further attempts of all daemons together.
	Retries retry.SharedLimits
	// MaxBody is the largest body of a request or response, in bytes.
	MaxBody int64
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Touch:   3 * time.Second,
		Lease:   4 * time.Second,
		Retries: retry.SharedLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		MaxBody: 7 << 20,
	}
}

// WatchWait returns how long a watch of the store waits for a change.
func (c Config) WatchWait() time.Duration { return c.Touch * 6 / 10 }
