package tally

// Row counts the calls of one route.
type Row struct {
	Route    string
	Service  string
	Calls    int
	Outcomes [outcomes]int
	Reasons  map[string]int // of the refusals
	Attempts int            // servers to which its calls were sent, or that refused them
}

func (r *Row) add(c call) {
	r.Calls++
	r.Outcomes[c.outcome]++
	r.Attempts += c.attempts
	if c.reason != "" {
		r.Reasons[c.reason]++
	}
}
