package store

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFullJitterWaitsWithinADoublingBound(t *testing.T) {
	tests := map[string]struct {
		draw float64
		want []time.Duration
	}{
		"lowest draw does not wait": {0, []time.Duration{0, 0, 0, 0}},
		"bound doubles up to BackoffMax": {1, []time.Duration{
			100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond,
			500 * time.Millisecond,
		}},
		"half of the bound": {0.5, []time.Duration{50 * time.Millisecond, 100 * time.Millisecond}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg := DefaultConfig()
			cfg.BackoffMax = 500 * time.Millisecond
			j := newFullJitter(cfg, func() float64 { return tt.draw })
			var got []time.Duration
			for range tt.want {
				got = append(got, j.NextBackOff())
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestConfigNamesEverySettingOutOfRange(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.True(1900*DefaultConfig().Budget.Reads < 1000) // about half of the 2,000 reads/s that the store allows
	is.True(1900*DefaultConfig().Budget.Writes < 200) // about half of the several hundred writes/s that the store allows
	cfg := DefaultConfig()
	cfg.Timeout, cfg.Attempts = 0, 0
	cfg.Budgets = map[Role]Budget{RoleRoot: {}}
	err := cfg.Validate()
	is.True(err != nil)
	is.Equal(err.Error(), "store setting Timeout must be above 0\nstore setting Attempts must be above 0\n"+
		"store setting Budgets.Root must be above 0 in rates and bursts")
}
