package store

import (
	"errors"
	"fmt"
	"time"
)

// Budget limits the calls of a role: rates in calls per second, and burst sizes.
type Budget struct {
	Reads      float64
	ReadBurst  int
	Writes     float64
	WriteBurst int
}

// Config holds the settings of a Client.
type Config struct {
	Budgets     map[Role]Budget // overrides Budget for a role
	Budget      Budget
	BudgetWait  time.Duration // max wait for the budget; a longer one returns ErrBudget
	Timeout     time.Duration // timeout of one attempt, except Watch and Follow
	WatchPeriod time.Duration // timeout of one Watch or Follow request; Watch sends it again
	Attempts    int           // max attempts per call, including the first
	BackoffMin  time.Duration // max backoff before the first retry
	BackoffMax  time.Duration // max backoff before any retry
	OpenAfter   int           // consecutive failures that open the circuit breaker
	OpenFor     time.Duration // time until an open circuit breaker admits a probe
}

// DefaultConfig returns the settings for the platform's store.
func DefaultConfig() Config {
	return Config{
		// The store allows about 2,000 reads/s and several hundred writes/s for all clients.
		// If all 1,900 daemons restart at once, they stay within 950 reads/s and 190 writes/s
		// after their initial bursts.
		Budget: Budget{Reads: 0.5, ReadBurst: 8, Writes: 0.1, WriteBurst: 4},
		Budgets: map[Role]Budget{
			// A root reads an agreement of 20,000 rows in about 40 chunks.
			RoleRoot: {Reads: 20, ReadBurst: 100, Writes: 1, WriteBurst: 4},
			// A keeper renews its lease every 5 s and writes its record whenever the holders change.
			RoleKeeper: {Reads: 5, ReadBurst: 20, Writes: 5, WriteBurst: 20},
			// An upload of 20,000 rows writes about 40 chunks; removing unreferenced chunks lists 256 prefixes.
			RoleOperator: {Reads: 50, ReadBurst: 300, Writes: 20, WriteBurst: 100},
		},
		BudgetWait:  2 * time.Second,
		Timeout:     2 * time.Second,
		WatchPeriod: time.Minute,
		Attempts:    4,
		BackoffMin:  100 * time.Millisecond,
		BackoffMax:  5 * time.Second,
		OpenAfter:   5,
		OpenFor:     2 * time.Second,
	}
}

// Validate returns an error that names every setting that is out of range.
func (c Config) Validate() error {
	var errs []error
	check := func(ok bool, name, text string) {
		if !ok {
			errs = append(errs, fmt.Errorf("store setting %s must be %s", name, text))
		}
	}
	check(c.Timeout > 0, "Timeout", "above 0")
	check(c.WatchPeriod > 0, "WatchPeriod", "above 0")
	check(c.Attempts > 0, "Attempts", "above 0")
	check(c.BackoffMin > 0, "BackoffMin", "above 0")
	check(c.BackoffMax >= c.BackoffMin, "BackoffMax", "at least BackoffMin")
	check(c.OpenAfter > 0, "OpenAfter", "above 0")
	check(c.OpenFor > 0, "OpenFor", "above 0")
	check(c.Budget.isValid(), "Budget", "above 0 in rates and bursts")
	for role, b := range c.Budgets {
		check(b.isValid(), "Budgets."+string(role), "above 0 in rates and bursts")
	}
	return errors.Join(errs...)
}

func (b Budget) isValid() bool {
	return b.Reads > 0 && b.ReadBurst > 0 && b.Writes > 0 && b.WriteBurst > 0
}
