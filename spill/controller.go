package spill

import (
	"math"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	// probeShare is the share of the calls that leave while home is short although no share may leave, so that the
	// state of the other side is known.
	probeShare = 0.01
	// fullCost is added to the price for calls that should stay if the other side has no free slots: it would refuse or delay
	// another call instead.
	fullCost = 0.5
	// maxClasses bounds the memory. When it is exceeded, all classes are discarded and observed again.
	maxClasses = 4096
)

// Class identifies calls that are observed together.
type Class struct {
	Service ident.ServiceID
	Large   bool // route with large answers
}

// riskStart is the time to an answer, as a share of the goal, from which others like it may be late.
const riskStart = 0.6

// Plan is the decision for one call.
type Plan struct {
	// Costs is the cost of each distance, as a share of the value of the answer.
	Costs [distances]float64
	// Refused replaces Costs after servers of the data centre refused the call.
	Refused [distances]float64
	// Away replaces Costs if the data centre has no server.
	Away [distances]float64
	// MayLeave is set if the call may leave although servers of the data centre take it.
	MayLeave bool
	// Share is the share of the class's calls that may leave.
	Share float64
	// Change states that a share of the calls may leave from now on, or no longer. It is set for one call.
	Change Change
}

// Change is a change of the mode of a class.
type Change int

// Changes.
const (
	NoChange Change = iota
	Leaves
	Returns
)

// Observation is the end of a call at one distance.
type Observation struct {
	Outcome Outcome
	Took    time.Duration // from the call's arrival to its answer
	Goal    time.Duration // for Took
	Bytes   int           // size of the answer
	Slots   int           // of the server; zero: not reported
	Free    int           // slots that the server reported as free
}

// loss returns the value that the call lost, with the risk that one like it is late.
func (o *Observation) loss() float64 {
	switch {
	case o.Outcome == Refused:
		return 1
	case o.Outcome == Late:
		return 1 - lateValue
	case o.Goal <= 0:
		return 0
	}
	over := o.Took.Seconds()/o.Goal.Seconds() - riskStart
	return (1 - lateValue) * min(1, max(0, over/(1-riskStart)))
}

// Controller decides for the calls of one entry. Its methods are safe for concurrent use.
type Controller struct {
	cfg    Config
	random func() float64

	mu      sync.Mutex
	classes map[Class]*class
}

// New returns a Controller. random returns numbers in [0, 1).
func New(cfg Config, random func() float64) *Controller {
	return &Controller{cfg: cfg, random: random, classes: map[Class]*class{}}
}

// Plan decides for a call whose answer has the expected size bytes; zero: not known.
func (c *Controller) Plan(id Class, bytes float64, now time.Time) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.class(id, now)
	k.step(&c.cfg, now)
	if bytes == 0 {
		bytes = k.bytes
	}
	var prices [distances]float64
	for d := range prices {
		prices[d] = c.cfg.price(d, bytes)
	}
	p := Plan{Costs: k.stayCosts(&prices, now), Refused: k.leaveCosts(&prices, now), Share: k.share, Change: k.change(now)}
	p.Away = p.Refused
	for d := 1; d < distances; d++ {
		if c.random() >= k.worth(d, prices[d], now) {
			p.Costs[d], p.Refused[d] = math.Inf(1), math.Inf(1)
		}
	}
	switch draw := c.random(); {
	case draw < k.share:
		p.MayLeave, p.Costs = true, p.Refused
	case k.short && draw < k.share+probeShare:
		p.MayLeave, p.Costs = true, probeCosts(c.random())
	}
	return p
}

// leaveCosts returns the costs for a call that may leave. Distances that pay cost as much as they gain less than the best
// one. A call compares that one with home by time alone.
func (k *class) leaveCosts(prices *[distances]float64, now time.Time) [distances]float64 {
	out := k.stayCosts(prices, now)
	best := 0.0
	for d := 1; d < distances; d++ {
		best = max(best, k.gain(d, prices[d], now))
	}
	for d := 1; d < distances; d++ {
		if g := k.gain(d, prices[d], now); g > 0 {
			out[d] = best - g
		}
	}
	return out
}

// stayCosts returns the costs for a call that should stay.
func (k *class) stayCosts(prices *[distances]float64, now time.Time) [distances]float64 {
	out := *prices
	for d := 1; d < distances; d++ {
		out[d] += fullCost * (1 - k.relief(d, now))
	}
	return out
}

// probeCosts returns costs that lead to one of the other distances.
func probeCosts(random float64) [distances]float64 {
	out := [distances]float64{1, 1, 1}
	out[1+int(random*(distances-1))] = 0
	return out
}

// Observe records the end of a call at distance d.
func (c *Controller) Observe(id Class, d int, o Observation, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.class(id, now)
	f := &k.distances[d]
	f.add(&o, now)
	if o.Bytes > 0 {
		if k.bytes == 0 {
			k.bytes = float64(o.Bytes)
		}
		k.bytes += averageWeight * (float64(o.Bytes) - k.bytes)
	}
	if d > 0 {
		return
	}
	if o.Slots > 0 {
		// The slot of the call itself is free again.
		k.observeSlot(o.Free > 1)
	}
	k.calls++
	k.lost += o.loss()
}

// ObserveSlot records whether an attempt found a free slot at a server of the data centre.
func (c *Controller) ObserveSlot(id Class, free bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.classes[id]; k != nil {
		k.observeSlot(free)
	}
}

// Share returns the share of the calls that may leave.
func (c *Controller) Share(id Class) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.classes[id]; k != nil {
		return k.share
	}
	return 0
}

func (c *Controller) class(id Class, now time.Time) *class {
	k := c.classes[id]
	if k == nil {
		if len(c.classes) >= maxClasses {
			clear(c.classes)
		}
		k = newClass(now)
		c.classes[id] = k
	}
	return k
}
