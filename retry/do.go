package retry

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// Deps are the dependencies of Do. All functions are safe for concurrent use.
type Deps struct {
	// HedgeAfter returns how long the first attempt may take before a second one is started
	// (route.Chooser.HedgeAfter). Nil: no hedging.
	HedgeAfter func(ident.ServiceID, agree.Class) (time.Duration, bool)
	Next       NextFunc                         // decides on retries, as Policy.Next does; nil: no retries
	Take       func(ident.ServiceID, Kind) bool // takes from the budget, as Budget.Take does; nil: always true
}

// Plan describes a call.
type Plan struct {
	Service    ident.ServiceID
	Class      agree.Class // corrected by the observed duration of the route
	Idempotent bool
	Retried    bool // another hop of the chain has retried the call
	Streamed   bool // the body is streamed, so two attempts cannot read it concurrently
}

// AttemptFunc runs one attempt.
type AttemptFunc[T any] func(context.Context) (T, error)

// AttemptFuncs provides the attempts of one call, at servers of type P with responses of type T. Its
// functions are not called concurrently.
type AttemptFuncs[P, T any] struct {
	// Choose returns a server that the call has not tried, or an error if there is none.
	Choose func(hedge bool) (P, error)
	// Prepare returns the attempt at p; number is 1 for the first attempt of the call. Two
	// attempts may run concurrently.
	Prepare func(p P, number int) AttemptFunc[T]
	// Cancel releases a chosen server that is not used.
	Cancel func(p P)
	// Replayable reports whether the request can be sent again; nil: always.
	Replayable func() bool
	// Drop releases the response of an attempt that lost to another one.
	Drop func(T)
}

// Do makes attempts until one gets a response or no further one is allowed. If an attempt is
// slow and the budget allows it, a second one is started at another server; the first response
// is used and the other attempt cancelled. The context of the successful attempt stays valid
// until ctx ends. After an attempt that may have run, no refusal says that the call did not
// run.
func Do[P, T any](ctx context.Context, d Deps, plan Plan, m AttemptFuncs[P, T]) (T, error) {
	r := &runner[P, T]{d: d, plan: plan, m: m}
	var last error
	for {
		v, err := r.round(ctx)
		switch {
		case err == nil:
			return v, nil
		case r.noServerLeft && last != nil:
			// The refusal of the last server tried says more than the error that no other is
			// left.
			return v, r.finalError(last)
		case r.noServerLeft || !r.shouldRetry(ctx, err):
			return v, r.finalError(err)
		}
		last = err
	}
}

// runner holds the state of one call.
type runner[P, T any] struct {
	d            Deps
	plan         Plan
	m            AttemptFuncs[P, T]
	attempts     int
	mayHaveRun   bool // an attempt failed without proof that it did not run
	noServerLeft bool // Choose found no server
}

// round makes one attempt, and a second one in parallel if the call may be hedged.
func (r *runner[P, T]) round(ctx context.Context) (v T, err error) {
	p, err := r.m.Choose(false)
	if err != nil {
		r.noServerLeft = true
		return v, err
	}
	send := r.prepare(p)
	if wait, ok := r.hedgeAfter(ctx); ok {
		return r.hedged(ctx, send, wait)
	}
	if v, err = send(ctx); err != nil {
		r.mayHaveRun = r.mayHaveRun || mayHaveRun(err)
	}
	return v, err
}

func (r *runner[P, T]) prepare(p P) AttemptFunc[T] {
	r.attempts++
	return r.m.Prepare(p, r.attempts)
}

// hedgeAfter returns the wait before a hedge. Calls of class long are not hedged: each hedge
// would occupy a second slot thirty times as long as that of a short call.
func (r *runner[P, T]) hedgeAfter(ctx context.Context) (time.Duration, bool) {
	p := &r.plan
	if r.d.HedgeAfter == nil || !p.Idempotent || p.Retried || p.Streamed || p.Class != agree.Short {
		return 0, false
	}
	wait, ok := r.d.HedgeAfter(p.Service, p.Class)
	if deadline, limited := ctx.Deadline(); limited && wait >= time.Until(deadline) {
		return 0, false
	}
	return wait, ok
}

// hedged starts an attempt and, if it has not ended after wait, a second one.
func (r *runner[P, T]) hedged(ctx context.Context, send AttemptFunc[T], wait time.Duration) (none T, failed error) {
	g := attemptGroup[T]{results: make(chan result[T], 2)}
	g.start(ctx, send)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if p, ok := r.hedge(); ok {
				g.start(ctx, r.prepare(p))
			}
		case a := <-g.results:
			g.running--
			if a.err == nil {
				g.cancelOthers(a.n, r.m.Drop)
				return a.value, nil
			}
			r.mayHaveRun = r.mayHaveRun || mayHaveRun(a.err)
			if failed = combine(failed, a.err); g.running == 0 {
				g.cancelOthers(-1, r.m.Drop)
				return none, failed
			}
		}
	}
}

// hedge chooses a server for a second attempt and takes its token from the budget. The budget
// comes last, since a token that was taken is not returned.
func (r *runner[P, T]) hedge() (P, bool) {
	p, err := r.m.Choose(true)
	if err != nil {
		return p, false
	}
	if !r.take(Hedge) {
		r.m.Cancel(p)
		return p, false
	}
	return p, true
}

func (r *runner[P, T]) take(k Kind) bool {
	return r.d.Take == nil || r.d.Take(r.plan.Service, k)
}

// shouldRetry decides on another attempt after one that failed with err, and waits until it is
// due.
func (r *runner[P, T]) shouldRetry(ctx context.Context, err error) bool {
	if r.d.Next == nil || ctx.Err() != nil || r.m.Replayable != nil && !r.m.Replayable() {
		return false
	}
	if mayHaveRun(err) && !r.plan.Idempotent {
		return false // regardless of Next
	}
	a := Attempt{
		Number: r.attempts, Idempotent: r.plan.Idempotent, Refusal: refuse.From(err), Sent: mayHaveRun(err),
		Remaining: maxRemaining, Retried: r.plan.Retried,
	}
	if deadline, ok := ctx.Deadline(); ok {
		a.Remaining = time.Until(deadline)
	}
	d, kind := r.d.Next(a)
	if !d.Retry || !r.take(kind) {
		return false
	}
	return d.Wait <= 0 || delay.Sleep(ctx, d.Wait)
}

// maxRemaining is the remaining time assumed for a call without a deadline.
const maxRemaining = time.Hour

// finalError returns err. If it says that the call did not run, although an earlier attempt
// may have run, it returns a refusal with RanUnknown instead.
func (r *runner[P, T]) finalError(err error) error {
	ref := refuse.From(err)
	if !r.mayHaveRun || ref == nil || ref.Ran != refuse.RanNo {
		return err
	}
	return refuse.New(ref.Reason, refuse.RanUnknown, ref.Detail+"; an earlier attempt may have run")
}
