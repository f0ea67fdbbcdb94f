package emul

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// LoadConfig configures a Load.
type LoadConfig struct {
	Entries []ident.Addr // HTTP addresses of the daemons that receive the calls, chosen with equal probability
	Mix     []LoadKind
	Rate    float64 // calls per second on average, without surges
	For     time.Duration
	Seed    uint64

	Swing  float64       // amplitude of the periodic change of the rate as a share of Rate, from 0 to 1
	Period time.Duration // of that change
	Surges []Surge

	Timeout time.Duration // sent as the deadline of a call; zero: none
	// Repeat is the share of keyed calls that are sent again with the same key, after a
	// random wait of up to RepeatAfter. Keyed calls without a definite outcome are always
	// sent again.
	Repeat      float64
	RepeatAfter time.Duration
	// Leave is the share of callers that leave without waiting for the answer, after a random
	// wait of up to LeaveAfter.
	Leave       float64
	LeaveAfter  time.Duration
	MaxInFlight int // max. calls in flight; further ones are counted as unsent

	// Dial replaces TCP; nil: TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error) `json:"-"`
}

// LoadKind is one kind of call in the mix.
type LoadKind struct {
	Member ident.MemberID
	Weight float64
	Method string
	Path   string // with query
	Body   int    // bytes
	Long   bool   // reported separately
	Once   bool   // not idempotent: more than one run is a violation
	Keyed  bool   // each call has an idempotency key
}

// Surge multiplies the rate for a period of time.
type Surge struct {
	At     time.Duration // from the start of the load
	For    time.Duration
	Factor float64
}

// DefaultLoad returns a load of short and long calls of one member at 200 calls/s.
func DefaultLoad() LoadConfig {
	return LoadConfig{
		Mix: []LoadKind{
			{Member: "office", Weight: 8, Method: http.MethodGet, Path: "/"},
			{Member: "office", Weight: 1, Method: http.MethodPost, Path: "/", Body: 200, Once: true},
			{Member: "office", Weight: 1, Method: http.MethodPost, Path: "/", Body: 200, Once: true, Keyed: true},
		},
		Rate:        200,
		For:         10 * time.Second,
		Swing:       0.5,
		Period:      4 * time.Second,
		Timeout:     2 * time.Second,
		Repeat:      0.1,
		RepeatAfter: 50 * time.Millisecond,
		MaxInFlight: 10_000,
	}
}

// rateAt returns the rate at the time t after the start.
func (c LoadConfig) rateAt(t time.Duration) float64 {
	r := c.Rate
	if c.Period > 0 {
		r *= 1 + c.Swing*math.Sin(2*math.Pi*float64(t)/float64(c.Period))
	}
	for _, s := range c.Surges {
		if t >= s.At && t < s.At+s.For {
			r *= s.Factor
		}
	}
	return r
}

// maxRate returns an upper bound of rateAt.
func (c LoadConfig) maxRate() float64 {
	r := c.Rate * (1 + math.Abs(c.Swing))
	for _, s := range c.Surges {
		r *= max(1, s.Factor)
	}
	return r
}
