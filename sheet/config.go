package sheet

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

// Config holds the default values of empty cells and the size limit of a sheet.
type Config struct {
	Class    agree.Class   // of a route
	Repeat   agree.Repeat  // of a route
	Timeout  time.Duration // of a route
	MaxBytes int64         // maximum size of the file
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Class:    agree.Short,
		Repeat:   agree.RepeatByMethod,
		Timeout:  2 * time.Second,
		MaxBytes: 64 << 20, // 20,000 rows take about 2 MB
	}
}
