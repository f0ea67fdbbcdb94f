package accept

import (
	"errors"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Config holds the settings of an Acceptor.
type Config struct {
	// ProposeTimeout limits Propose, and with it the time between the check of a chunk and the swap
	// of head. It is far below CollectAfter, so that no chunk is collected in between.
	ProposeTimeout time.Duration
	// SheetBaseWindow is the time after a sheet was accepted during which another sheet must state
	// its base, since it may have been exported before the first one was accepted.
	SheetBaseWindow time.Duration
	// CollectAfter is the time for which a chunk must be unreferenced before it is removed.
	CollectAfter time.Duration
	// KeepVersions is the number of Versions whose rows are kept as bases. The default covers
	// two days of 1,300 changes, so that a sheet can be exported the day before.
	KeepVersions ident.Version
	// KeepHistory is the number of Versions whose records are kept. The default covers about
	// 38 days of 1,300 changes.
	KeepHistory ident.Version
	// Concurrency is the number of chunks that are read or written at the same time.
	Concurrency int
	// KeepLoaded is the number of loaded agreements kept in memory. The default covers the head and
	// the base of a proposal; a daemon, which holds the agreement itself, needs none.
	KeepLoaded int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		ProposeTimeout:  time.Minute,
		SheetBaseWindow: 15 * time.Minute,
		CollectAfter:    24 * time.Hour,
		KeepVersions:    2600,
		KeepHistory:     50_000,
		Concurrency:     8,
		KeepLoaded:      2,
	}
}

// Validate returns an error for the first setting that is out of range.
func (c Config) Validate() error {
	switch {
	case c.ProposeTimeout <= 0:
		return errors.New("accept setting ProposeTimeout must be above 0")
	case c.CollectAfter < 10*c.ProposeTimeout:
		return errors.New("accept setting CollectAfter must be at least 10 times ProposeTimeout")
	case c.SheetBaseWindow < 0:
		return errors.New("accept setting SheetBaseWindow must not be negative")
	case c.KeepVersions < 1 || c.KeepHistory < c.KeepVersions:
		return errors.New("accept setting KeepVersions must be from 1 to KeepHistory")
	case c.Concurrency < 1:
		return errors.New("accept setting Concurrency must be above 0")
	case c.KeepLoaded < 0:
		return errors.New("accept setting KeepLoaded must not be negative")
	}
	return nil
}
