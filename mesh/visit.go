package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/route"
)

const (
	// maxOffers bounds the servers of the data centre that are asked first for a slot that is free at once. What a
	// daemon knows of their load is as old as its last call there, some seconds with many servers, and asking takes
	// a millisecond.
	maxOffers = 3
	// maxBusy bounds the servers that are asked while all are busy: each costs a round trip.
	maxBusy = 4
	// lateShare is the part of a caller's remaining time for which a call that misses its goal still
	// waits. The rest is for the work itself.
	lateShare = 0.3
	// leastPatience distinguishes a call that waits for a slot from an offer.
	leastPatience = time.Millisecond
	// answerMargin is taken from the time that is left to a backend server, so that what became of the request
	// is known before the caller leaves.
	answerMargin = 10 * time.Millisecond
	// leastRetry is the least advice to a refused caller, below which it would find the same queue.
	leastRetry = 50 * time.Millisecond
	// hedgeFactor times the usual service time without an answer begins a second attempt.
	hedgeFactor = 4
	// leastHedge is the least wait for a second attempt: below, scheduling alone would begin one.
	leastHedge = 60 * time.Millisecond
)

// run makes the attempts of a call until one is answered or no more is allowed.
func (v *visit) run(ctx context.Context) *Answer {
	v.without, v.offered = map[ident.Addr]bool{}, map[ident.Addr]bool{}
	results := make(chan result, 4+maxBusy)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the attempts that were overtaken
	running := 0
	if v.next(ctx, results) {
		running++
	}
	hedge := time.NewTimer(v.hedgeAfter())
	defer hedge.Stop()
	for running > 0 {
		select {
		case <-hedge.C:
			if v.mayHedge(running) && v.hedge(ctx, results) {
				v.n.d.Stats.Retried("Hedge")
				running++
			}
		case r := <-results:
			running--
			a, again := v.settle(ctx, r)
			if a != nil {
				return a
			}
			if again && running == 0 && v.next(ctx, results) {
				running++
			}
			if running == 0 && v.wantsWait() && v.start(ctx, results, v.late()) {
				running++
			}
		}
	}
	return v.outcome(ctx)
}

// next begins an attempt: while offers are made at a server of the data centre that has a free slot, then at any
// that can answer in time.
func (v *visit) next(ctx context.Context, results chan<- result) bool {
	if v.poisoned() {
		return false
	}
	if v.offers < maxOffers && v.n.offers.worthwhile(v.service, v.n.d.Random()) {
		v.offers++
		if v.startAt(ctx, results, 0, v.nearby()) {
			return true
		}
	}
	v.offers = maxOffers
	clear(v.offered)
	return v.start(ctx, results, v.onTime())
}

// hedge begins a second attempt beside one that is slow, at a server that has not been asked: one that took an
// offer is still at work on it.
func (v *visit) hedge(ctx context.Context, results chan<- result) bool {
	for a := range v.offered {
		v.without[a] = true
	}
	return v.next(ctx, results)
}

// nearby returns the servers of the data centre that have not been asked.
func (v *visit) nearby() []route.Candidate {
	list, _ := v.n.roster.candidates(v.service, v.without, v.n.d.Now())
	return slices.DeleteFunc(list, func(c route.Candidate) bool {
		return c.Place != v.n.d.Place || v.offered[c.Addr]
	})
}

// onTime is the longest wait with which the call still reaches its goal.
func (v *visit) onTime() time.Duration {
	return max(leastPatience, v.goal.Sub(v.n.d.Now())-v.n.usual.workOf(v.route.ID))
}

// late is the longest wait for a call that misses its goal.
func (v *visit) late() time.Duration {
	return time.Duration(lateShare * float64(max(0, v.limit.Sub(v.n.d.Now()))))
}

// wantsWait reports whether the call is to wait at a server that was busy, having asked all others.
// It does so once.
func (v *visit) wantsWait() bool {
	if v.waits == 0 || v.sent > 0 || v.waited {
		return false
	}
	v.waited = true
	delete(v.without, v.spare)
	return v.waits < v.late()
}

// start begins an attempt at the best server and reports whether there is one.
func (v *visit) start(ctx context.Context, results chan<- result, patience time.Duration) bool {
	list, known := v.n.roster.candidates(v.service, v.without, v.n.d.Now())
	switch {
	case v.startAt(ctx, results, patience, list):
		return true
	case v.waits > 0 && v.busy == 0 && v.sent == 0 && !v.asked:
		// What is known of the servers is some milliseconds old: no call is refused without having asked one.
		v.asked = true
		return v.startAt(ctx, results, patience, list)
	case known == 0:
		v.refusal = refuse.NotRun(refuse.NoServer, "no ready backend server of "+string(v.service)+" is known")
	case v.refusal == nil:
		v.refusal = refuse.NotRun(refuse.NoServer, "no backend server of "+string(v.service)+" can be reached")
	}
	return false
}

// startAt begins an attempt at the best of the candidates and reports whether there is one.
func (v *visit) startAt(ctx context.Context, results chan<- result, patience time.Duration, list []route.Candidate) bool {
	now := v.n.d.Now()
	need := route.Need{
		Left: v.goal.Sub(now), Due: v.due(now), Weight: v.n.usual.weight(v.route.ID, v.service),
		Priority: v.route.Priority, Patience: patience, Ask: v.asked && v.busy == 0,
	}
	c, wait, ok := v.n.board.Pick(list, need)
	if !ok {
		v.full(wait)
		return false
	}
	if patience == 0 {
		v.offered[c.Addr] = true
	} else {
		v.without[c.Addr] = true
	}
	req := &request{
		ID: v.c.ID, Service: v.service, Route: v.route.ID, Caller: v.n.d.Caller(), Method: v.c.Method, URI: v.c.URI,
		Host: v.c.Host, Header: v.c.Header, Body: v.c.Body, Idempotent: v.route.Idempotent, Priority: v.route.Priority,
		Goal: v.goal.Sub(now), Left: v.limit.Sub(now) - answerMargin, Patience: patience, Version: v.version,
	}
	go func() {
		r, err := v.n.send(ctx, c.Addr, req)
		out := result{server: c.Addr, reply: r, err: err, took: v.n.d.Now().Sub(now), need: need}
		v.n.board.End(c.Addr, out.observed(ctx))
		results <- out
	}()
	return true
}

// due is when the call is due at a server: at its goal, or at its limit if that cannot be reached.
func (v *visit) due(now time.Time) time.Time {
	if now.Add(v.n.usual.workOf(v.route.ID)).After(v.goal) {
		return v.limit
	}
	return v.goal
}

// full notes that servers were passed over, of which the first is likely to have a slot after wait. Zero: none was.
func (v *visit) full(wait time.Duration) {
	if wait == 0 {
		return
	}
	v.waitAt(wait)
	if v.refusal == nil {
		v.refusal = refuse.NotRun(refuse.QueueFull, "all backend servers of "+string(v.service)+" have queues")
	}
}

// waitAt notes the wait that a busy server states, and reports whether it is the shortest so far.
func (v *visit) waitAt(wait time.Duration) bool {
	if v.waits != 0 && v.waits <= wait {
		return false
	}
	v.waits = wait
	return true
}

// mayRepeat reports whether a call that may have run is sent again, and takes the attempt from the budget.
func (v *visit) mayRepeat(ctx context.Context) bool {
	if !v.route.Idempotent || ctx.Err() != nil || v.sent >= v.attempts() || !v.n.retries.Take(v.service, retry.Failed) {
		return false
	}
	v.n.d.Stats.Retried("Failed")
	return true
}

func (v *visit) attempts() int { return max(1, v.route.Attempts) }

// hedgeAfter returns the wait after which a second attempt is made beside a slow one.
func (v *visit) hedgeAfter() time.Duration {
	return max(leastHedge, hedgeFactor*v.n.usual.of(v.route.ID))
}

// mayHedge reports whether a second attempt may be made beside the one that runs.
func (v *visit) mayHedge(running int) bool {
	return v.route.Idempotent && running == 1 && v.sent+running < v.attempts() && v.n.retries.Take(v.service, retry.Hedge)
}
