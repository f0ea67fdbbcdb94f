package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
)

// Times of the events of a run, counted from the start of the load.
const (
	loadDuration = 5 * time.Second // ends one second after the slowdown
	correctAt    = time.Second
	drainAt      = 2 * time.Second
	slowAt       = 3 * time.Second
	slowDuration = time.Second
	slowFactor   = 10
	// maxPropagation is the longest time until a change is in force everywhere.
	maxPropagation = 4 * time.Second
)

// ErrInvariantViolated reports that an invariant did not hold during a run.
var ErrInvariantViolated = errors.New("invariant violated")

// Run runs both deployments at the same time with seed, prints a table to w and returns
// an error that wraps ErrInvariantViolated if an invariant did not hold.
func Run(ctx context.Context, w io.Writer, seed uint64, log *event.Log) error {
	deps := []Deployment{School(), Laundry()}
	results := make([]Result, len(deps))
	errs := make([]error, len(deps))
	var wg sync.WaitGroup
	for i, dep := range deps {
		wg.Go(func() {
			results[i], errs[i] = runDeployment(ctx, dep, seed+uint64(i)*1000, log.With("Deployment", dep.Name))
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for i := range results {
		results[i].Violations = append(results[i].Violations, results[i].missedTargets()...)
	}
	if err := Write(w, results); err != nil {
		return err
	}
	for _, r := range results {
		if len(r.Violations) > 0 {
			return fmt.Errorf("%w: deployment %s", ErrInvariantViolated, r.Deployment)
		}
	}
	return nil
}

func runDeployment(ctx context.Context, dep Deployment, seed uint64, log *event.Log) (res Result, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	c, err := Start(dep, seed, log)
	if err != nil {
		return res, err
	}
	defer func() { err = errors.Join(err, c.Stop()) }()
	res.Deployment, res.Daemons = dep.Name, len(c.nodes)
	if res.SheetLatency, err = c.applyChange(ctx, c.Upload); err != nil {
		return res, err
	}
	before := c.nodes[0].current().Agreement()
	if err := c.waitReady(ctx); err != nil {
		return res, err
	}
	load := emul.NewLoad(c.loadConfig(seed))
	controlBytes, crossRegionBytes := c.network.controlBytes.Load(), c.network.crossRegionControlBytes.Load()
	scriptErr := make(chan error, 1)
	go func() { scriptErr <- c.runScript(ctx, &res) }()
	if res.Load, err = load.Run(ctx); err != nil {
		return res, errors.Join(err, <-scriptErr)
	}
	if err := <-scriptErr; err != nil {
		return res, err
	}
	took := res.Load.Took.Seconds()
	res.ControlRate = float64(c.network.controlBytes.Load()-controlBytes) / took / float64(len(c.nodes))
	res.CrossRegionRate = float64(c.network.crossRegionControlBytes.Load()-crossRegionBytes) / took
	res.Violations = c.violations(load, before)
	return res, nil
}

func (c *Cluster) loadConfig(seed uint64) emul.LoadConfig {
	cfg := emul.DefaultLoad()
	cfg.Entries, cfg.Mix, cfg.Rate, cfg.For, cfg.Seed = c.Entries(), c.dep.Mix, c.dep.Rate, loadDuration, seed
	// Long work needs more time than the deadline that the load tool would set; the routes
	// have their own timeouts.
	cfg.Timeout = 0
	return cfg
}

// runScript applies a correction, drains one backend server and slows down another while the
// load runs.
func (c *Cluster) runScript(ctx context.Context, res *Result) error {
	start := time.Now()
	delay.Until(ctx, start.Add(correctAt))
	var err error
	if res.CorrectionLatency, err = c.applyChange(ctx, c.Correct); err != nil {
		return err
	}
	delay.Until(ctx, start.Add(drainAt))
	if err := c.nodes[0].backend.Drain(ctx); err != nil {
		return err
	}
	delay.Until(ctx, start.Add(slowAt))
	c.nodes[len(c.nodes)-1].backend.Slow(slowFactor, slowDuration)
	return nil
}

// violations describes the invariants that did not hold.
func (c *Cluster) violations(load *emul.Load, before *agree.Agreement) []string {
	var out []string
	for _, v := range load.Check(emul.TotalRuns(c.Backends()...)) {
		out = append(out, v.String())
	}
	out = append(out, c.versions.regressions()...)
	out = append(out, c.usage.exceeded(before, c.nodes[0].current().Agreement())...)
	return out
}

// missedTargets describes the results that missed a target. A demonstration reports them as
// violations; tests ignore them, since the machine may be busy.
func (r Result) missedTargets() []string {
	var out []string
	if r.CorrectionLatency > maxPropagation {
		out = append(out, fmt.Sprintf("correction in force after %s, target %s", r.CorrectionLatency, maxPropagation))
	}
	if r.Load.Broken > 0 {
		out = append(out, fmt.Sprintf("%d connections of callers broke, such as: %s", r.Load.Broken, strings.Join(r.Load.BrokenCalls, "; ")))
	}
	return out
}
