package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/route"
	"github.com/marjoramcroft/marjoramcroft/table"
)

const (
	// maxNoWaitAttempts limits the servers in the data centre that are first tried without waiting in their
	// queue. With many servers, the load that a daemon knows of them is some seconds old (from its last call
	// there), and trying takes a millisecond.
	maxNoWaitAttempts = 3
	// maxBusyServers limits the servers tried while all are busy: each costs a round trip.
	maxBusyServers = 4
	// lateWaitShare is the share of the remaining time that a call may wait in a queue after missing its
	// goal. The rest is for processing.
	lateWaitShare = 0.3
	// minQueueWait distinguishes a call that may be queued from a no-wait attempt.
	minQueueWait = time.Millisecond
	// answerMargin is subtracted from the time available to a backend server, so that the outcome of the
	// request is known before the caller gives up.
	answerMargin = 10 * time.Millisecond
	// minRetryAfter is the minimum retry delay for a refused caller: an earlier retry would find the same
	// queue.
	minRetryAfter = 50 * time.Millisecond
	// hedgeFactor is the multiple of the route's average latency after which a second attempt is made.
	hedgeFactor = 4
	// minHedgeDelay is the minimum wait before a second attempt: below it, scheduling delays alone would
	// cause one.
	minHedgeDelay = 60 * time.Millisecond
)

// run makes attempts until one is answered or no more are allowed.
func (p *pendingCall) run(ctx context.Context) *Answer {
	p.excluded, p.triedNoWait, p.running = map[ident.Addr]bool{}, map[ident.Addr]bool{}, map[int]bool{}
	results := make(chan result, 4+maxBusyServers)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels attempts that are still running
	defer func() { p.spill.End(p.n.d.Now()) }()
	p.startNext(ctx, results)
	hedge := time.NewTimer(p.hedgeDelay())
	defer hedge.Stop()
	for len(p.running) > 0 {
		again := false
		select {
		case <-hedge.C:
			if p.mayHedge() && p.hedge(ctx, results) {
				p.n.d.Stats.Retried("Hedge")
			}
			continue
		case r := <-results:
			if r.silent {
				again = p.handleSilence(ctx, r)
				break
			}
			var a *Answer
			if a, again = p.handleResult(ctx, r); a != nil {
				return a
			}
		}
		if again && p.onlySilent() {
			p.startNext(ctx, results)
		}
		if len(p.running) == 0 && p.shouldQueueLate() {
			p.startAttempt(ctx, results, p.maxWaitPastGoal())
		}
	}
	return p.finalAnswer(ctx)
}

// startNext starts an attempt: first no-wait attempts at servers of the data centre, then at any server that
// can answer in time.
func (p *pendingCall) startNext(ctx context.Context, results chan<- result) bool {
	if p.poisoned() {
		return false
	}
	if p.noWaitAttempts < maxNoWaitAttempts && p.n.noWait.shouldTry(p.service, p.n.d.Random()) {
		p.noWaitAttempts++
		if p.startAttemptAmong(ctx, results, 0, p.localCandidates()) {
			return true
		}
	}
	p.noWaitAttempts = maxNoWaitAttempts
	clear(p.triedNoWait)
	return p.startAttempt(ctx, results, p.maxWaitForGoal())
}

// hedge starts a second attempt beside a slow one, at a server that has not been tried. A server that
// accepted a no-wait attempt is still processing it.
func (p *pendingCall) hedge(ctx context.Context, results chan<- result) bool {
	for a := range p.triedNoWait {
		p.excluded[a] = true
	}
	return p.startNext(ctx, results)
}

// localCandidates returns the servers of the data centre that have not been tried.
func (p *pendingCall) localCandidates() []route.Candidate {
	list, _ := p.n.peers.candidates(p.service, p.excluded, p.n.d.Now())
	return slices.DeleteFunc(list, func(c route.Candidate) bool {
		return c.Place != p.n.d.Place || p.triedNoWait[c.Addr]
	})
}

// maxWaitForGoal returns the longest queue wait with which the call still reaches its goal.
func (p *pendingCall) maxWaitForGoal() time.Duration {
	return max(minQueueWait, p.goal.Sub(p.n.d.Now())-p.n.latencies.serviceTime(p.route.ID))
}

// maxWaitPastGoal returns the longest queue wait for a call that misses its goal. For strict servers it is beyond the goal,
// by which they tell it from the wait of a call that is to reach its goal.
func (p *pendingCall) maxWaitPastGoal() time.Duration {
	now := p.n.d.Now()
	wait := time.Duration(lateWaitShare * float64(max(0, p.deadline.Sub(now))))
	if p.strict() {
		wait = max(wait, p.goal.Sub(now)+minQueueWait)
	}
	return wait
}

// strict reports whether servers refuse requests at once that are likely to miss their goal.
func (p *pendingCall) strict() bool { return strictQueues(p.table) }

// strictQueues reports whether the configuration has requests that compete for capacity by rank: those of accounts, or
// large answers beside small ones. An empty list of accounts has none, also if keys are required.
func strictQueues(t *table.Table) bool { return t.HasAccounts() || t.HasLargeAnswers() }

// shouldQueueLate reports whether the call, after trying all servers, is queued at the least busy one. This
// is done once for each call.
func (p *pendingCall) shouldQueueLate() bool {
	if p.shortestWait == 0 || p.sent > 0 || p.queuedLate {
		return false
	}
	p.queuedLate = true
	delete(p.excluded, p.leastBusy)
	return p.shortestWait < p.maxWaitPastGoal()
}

// startAttempt starts an attempt at the best server and reports whether there is one.
func (p *pendingCall) startAttempt(ctx context.Context, results chan<- result, maxWait time.Duration) bool {
	list, known := p.n.peers.candidates(p.service, p.excluded, p.n.d.Now())
	switch {
	case p.startAttemptAmong(ctx, results, maxWait, list):
		return true
	case p.shortestWait > 0 && p.busyServers == 0 && p.sent == 0 && !p.forced:
		// The known load is some milliseconds old: no call is refused without trying one server.
		p.forced = true
		return p.startAttemptAmong(ctx, results, maxWait, list)
	case p.shortestWait == 0 && p.spill.LeaveUnreachable() && p.startAttemptAmong(ctx, results, maxWait, list):
		return true
	case known == 0:
		p.refusal = refuse.NotRun(refuse.NoServer, "no ready backend server of "+string(p.service)+" is known")
	case p.refusal == nil:
		p.refusal = refuse.NotRun(refuse.NoServer, "no backend server of "+string(p.service)+" can be reached")
	}
	return false
}

// startAttemptAmong starts an attempt at the best of the candidates and reports whether there is one.
func (p *pendingCall) startAttemptAmong(ctx context.Context, results chan<- result, maxWait time.Duration, list []route.Candidate) bool {
	now := p.n.d.Now()
	need := route.Requirements{
		Remaining: p.goal.Sub(now), Due: p.due(now), Weight: p.n.latencies.weight(p.route.ID, p.service),
		Priority: p.rank(), MaxWait: maxWait, RetryBusy: p.forced && p.busyServers == 0,
		Bytes: p.n.expectedBytes(p.route.ID), Self: p.n.d.Self,
	}
	if maxWait > 0 {
		need.Transfer = p.transferCosts(list)
	}
	c, wait, ok := p.n.board.Pick(list, need)
	if !ok {
		p.recordBusy(wait)
		return false
	}
	if maxWait == 0 {
		p.triedNoWait[c.Addr] = true
	} else {
		p.excluded[c.Addr] = true
	}
	req := &request{
		ID: p.c.ID, Service: p.service, Route: p.route.ID, Caller: p.n.d.Caller(), Method: p.c.Method, URI: p.c.URI,
		Host: p.c.Host, Header: p.c.Header, Body: p.c.Body, Idempotent: p.route.Idempotent, Priority: p.rank(),
		Goal: p.goal.Sub(now), TimeLeft: p.deadline.Sub(now) - answerMargin, MaxWait: maxWait, Version: p.version,
		Repeat: p.sent > 0 || len(p.running) > 0, Account: p.accountID(),
	}
	p.started++
	number := p.started
	p.running[number] = false
	p.recordPlace(number, c.Place)
	var onSilent func()
	if p.route.Idempotent {
		onSilent = func() {
			select {
			case results <- result{attempt: number, server: c.Addr, silent: true}:
			case <-ctx.Done():
			}
		}
	}
	go func() {
		r, err := p.n.send(ctx, c.Addr, req, onSilent)
		out := result{attempt: number, server: c.Addr, reply: r, err: err, took: p.n.d.Now().Sub(now), need: need}
		p.n.board.End(c.Addr, out.observation(ctx))
		results <- out
	}()
	return true
}

// due returns the time by which a server should answer: the goal, or the deadline if the goal cannot be
// reached.
func (p *pendingCall) due(now time.Time) time.Time {
	if now.Add(p.n.latencies.serviceTime(p.route.ID)).After(p.goal) {
		return p.deadline
	}
	return p.goal
}

// recordBusy records that servers were skipped because of their queues. wait is the shortest expected wait
// for a slot; zero: none was skipped.
func (p *pendingCall) recordBusy(wait time.Duration) {
	if wait == 0 {
		return
	}
	p.recordWait(wait)
	if p.refusal == nil {
		p.refusal = refuse.NotRun(refuse.QueueFull, "all backend servers of "+string(p.service)+" have queues")
	}
}

// recordWait records the queue wait of a busy server, and reports whether it is the shortest so far.
func (p *pendingCall) recordWait(wait time.Duration) bool {
	if p.shortestWait != 0 && p.shortestWait <= wait {
		return false
	}
	p.shortestWait = wait
	return true
}

// mayRetry reports whether a call that may have run is retried, and takes the retry from the budget.
func (p *pendingCall) mayRetry(ctx context.Context) bool {
	if !p.route.Idempotent || ctx.Err() != nil || p.tooLateForLarge() || p.sent+p.silentAttempts() >= p.attempts() || !p.n.retries.Take(p.service, retry.Failed) {
		return false
	}
	p.n.d.Stats.Retried("Failed")
	return true
}

// tooLateForLarge reports whether the answer is large and less time is left than such calls take: another attempt would take
// links for an answer that nobody waits for.
func (p *pendingCall) tooLateForLarge() bool {
	return p.n.expectedBytes(p.route.ID) > 0 && p.deadline.Sub(p.n.d.Now()) < p.n.latencies.latency(p.route.ID)
}

func (p *pendingCall) attempts() int { return max(1, p.route.Attempts) }

// hedgeDelay returns how long to wait for an attempt before starting a second one. A large answer, which takes long for its
// size alone and is taken from a link twice by a second attempt, has until the goal.
func (p *pendingCall) hedgeDelay() time.Duration {
	d := max(minHedgeDelay, hedgeFactor*p.n.latencies.latency(p.route.ID))
	if p.n.expectedBytes(p.route.ID) > 0 {
		d = max(d, p.goal.Sub(p.n.d.Now()))
	}
	return d
}

// mayHedge reports whether a second attempt may be started, and takes it from the retry budget.
func (p *pendingCall) mayHedge() bool {
	return p.route.Idempotent && len(p.running) == 1 && p.sent+1 < p.attempts() && p.n.retries.Take(p.service, retry.Hedge)
}
