package emul

import "time"

// StoreConfig holds the settings of a Store.
type StoreConfig struct {
	ReadRate    float64       // Get, List and Watch calls per second; 0: unlimited
	WriteRate   float64       // other calls per second; 0: unlimited
	Burst       int           // calls that may exceed the rates at once
	QueueTime   time.Duration // a call that would wait longer for its turn is rejected
	MaxValue    int           // maximum size of a value in bytes
	HistorySize int           // changes kept for watches that start at an older revision
}

// DefaultStoreConfig returns the limits of the platform's store.
func DefaultStoreConfig() StoreConfig {
	return StoreConfig{
		ReadRate:    2000,
		WriteRate:   400, // "several hundred" writes per second
		Burst:       200,
		QueueTime:   time.Second,
		MaxValue:    1 << 20,
		HistorySize: 256,
	}
}
