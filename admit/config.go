package admit

import "time"

// Config holds the settings of a Gate.
type Config struct {
	// QueuePerMember is the maximum number of waiting calls of one member and class.
	QueuePerMember int
	// LongShare is the share of the slots that long work may hold.
	LongShare float64
	// LongFactor is the multiple of the mean service time of short work above which a route that is
	// declared short counts as long.
	LongFactor float64
	// ColdShare is the share of the slots that a newly started backend server gets at first.
	ColdShare float64
	// ShedFactor is the factor by which the limit changes when the backend server sheds load.
	ShedFactor float64
	// ClimbFactor is the multiple of the usual service time of short work above which the limit is lowered.
	ClimbFactor float64
	// ClimbFloor is the share of the slots below which rising latency does not lower the limit.
	ClimbFloor float64
	// StaleAfter is the time without samples after which a service time counts half.
	StaleAfter time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		QueuePerMember: 64,
		LongShare:      2.0 / 3,
		LongFactor:     8,
		ColdShare:      0.25,
		ShedFactor:     0.7,
		ClimbFactor:    3,
		ClimbFloor:     0.5,
		StaleAfter:     time.Second,
	}
}
