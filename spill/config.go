// Package spill decides which requests leave their data centre, and how many.
package spill

// Policy selects how the cost of another data centre is determined.
type Policy string

// Policies.
const (
	Auto     Policy = "auto"     // Adaptive if requests compete for capacity, else Fixed
	Adaptive Policy = "adaptive" // by what the calls of the entry found
	Fixed    Policy = "fixed"    // the constants of package route
)

// Valid reports whether p is a known policy.
func (p Policy) Valid() bool { return p == Auto || p == Adaptive || p == Fixed }

// distances is the number of values of ident.Place.Distance.
const distances = 3

// Config holds the settings. Costs are shares of the value of an answer in time.
type Config struct {
	Policy Policy
	// CostPerMB is the cost of a megabyte that leaves the data centre.
	CostPerMB float64
	// FixedCosts are the costs of a request without the bytes of its answer, by distance.
	FixedCosts [distances]float64
}

// DefaultConfig returns the default settings. For an answer of 5 KB the costs are those of the fixed policy.
func DefaultConfig() Config {
	return Config{Policy: Auto, CostPerMB: 2, FixedCosts: [distances]float64{0, 0.19, 0.34}}
}

// IsAdaptive reports whether costs are adaptive for a configuration whose requests compete for capacity, or do not.
func (c *Config) IsAdaptive(competes bool) bool {
	return c.Policy == Adaptive || c.Policy == Auto && competes
}

// price returns the cost of an answer of the given size from distance d.
func (c *Config) price(d int, bytes float64) float64 {
	if d == 0 {
		return 0
	}
	return c.FixedCosts[d] + c.CostPerMB*bytes/1e6
}
