package mesh

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/route"
)

// result is the result of one attempt, or tells that its server has become silent.
type result struct {
	attempt int // number in the call
	server  ident.Addr
	silent  bool // the attempt goes on
	reply   *reply
	err     error
	took    time.Duration
	need    route.Requirements
}

// noWait reports whether the attempt was a no-wait attempt.
func (r *result) noWait() bool { return r.need.MaxWait == 0 }

// observation returns what the attempt shows about the state of its server.
func (r *result) observation(ctx context.Context) route.Result {
	switch {
	case ctx.Err() != nil && (r.err != nil || r.reply.Outcome != answered):
		return route.Result{} // cancelled by this daemon, so nothing is known about the server
	case r.err != nil:
		return route.Result{Unreachable: true, Failed: true}
	}
	out := route.Result{Report: r.reply.Report, Known: r.reply.Report.Slots > 0, Took: r.took}
	switch r.reply.Outcome {
	case lost:
		out.Failed = true
	case answered:
		out.Failed = r.reply.Status >= 500
	case shed:
		out.Failed = true
	default:
		out.Took = 0
		out.Unreachable = r.reply.Wait == 0 && r.reply.Reason != refuse.Poisoned
		if !r.noWait() && r.reply.Turn > 0 {
			out.Rejected, out.RejectedWait = &r.need, r.reply.Turn
		}
	}
	return out
}

// handleSilence processes that the server of an attempt has become silent, and reports whether another attempt may be
// made beside it. Its answer may still arrive. If it has arrived meanwhile, there is nothing to do.
func (p *pendingCall) handleSilence(ctx context.Context, r result) bool {
	if _, ok := p.running[r.attempt]; !ok {
		return false
	}
	p.running[r.attempt] = true
	p.excluded[r.server] = true
	p.n.board.Pause(r.server)
	p.n.d.Stats.Inc("Entry.Silent")
	p.trace = append(p.trace, attempt{server: r.server, outcome: "Silent"})
	return p.onlySilent() && p.mayRetry(ctx)
}

// silentAttempts returns the number of attempts without a result whose servers have become silent.
func (p *pendingCall) silentAttempts() int {
	sum := 0
	for _, silent := range p.running {
		if silent {
			sum++
		}
	}
	return sum
}

// onlySilent reports whether no attempt runs at a server that has not become silent.
func (p *pendingCall) onlySilent() bool { return p.silentAttempts() == len(p.running) }

// handleResult processes the result of an attempt. It returns the answer to the call, or whether another
// attempt may be made.
func (p *pendingCall) handleResult(ctx context.Context, r result) (*Answer, bool) {
	delete(p.running, r.attempt)
	p.recordAttempt(r)
	p.recordDistance(r)
	if r.noWait() && r.err == nil && r.need.Bytes == 0 { // a large answer may be refused for the link
		p.n.noWait.add(p.service, r.reply.Outcome != rejected)
	}
	if r.err != nil {
		if mayHaveRun(r.err) {
			p.sent++
			p.executed++
			p.maybeRan = true
			return nil, p.mayRetry(ctx)
		}
		p.excluded[r.server] = true
		return nil, ctx.Err() == nil && len(p.trace) < maxNoWaitAttempts+maxBusyServers+p.route.Attempts
	}
	if r.reply.Outcome != rejected {
		p.excluded[r.server] = true
	}
	switch r.reply.Outcome {
	case answered:
		p.sent++
		p.executed++
		if !p.n.suspects.Empty() {
			p.n.recordAnswer(p.service, p.fingerprint(), r.reply.Status)
		}
		a := &Answer{Status: r.reply.Status, Header: r.reply.Header, Body: r.reply.Body}
		if a.Status < 500 || !p.mayRetry(ctx) {
			return a, false
		}
		p.serverError = a
		return nil, true
	case rejected:
		return nil, p.handleRejection(ctx, r)
	case shed:
		p.sent++
		p.refusal = refuse.NotRun(r.reply.Reason, r.reply.Detail)
		return nil, ctx.Err() == nil && p.sent < p.attempts() && p.takeShed()
	default:
		p.sent++
		p.executed++
		p.maybeRan = true
		return nil, p.mayRetry(ctx)
	}
}

// takeShed reports whether a call that a backend server has shed may be sent to another one, and takes the retry from the
// budget.
func (p *pendingCall) takeShed() bool {
	if p.strict() {
		return p.n.retries.TakeShed(p.service, p.rank())
	}
	return p.n.retries.Take(p.service, retry.NotRun)
}

// handleRejection handles a rejection by a server's daemon, and reports whether to try another server.
func (p *pendingCall) handleRejection(ctx context.Context, r result) bool {
	if p.refusal == nil || r.reply.Wait > 0 {
		p.refusal = refuse.NotRun(r.reply.Reason, r.reply.Detail)
	}
	if r.reply.Reason == refuse.Poisoned {
		p.untilTrial = r.reply.Wait
		return false
	}
	if r.noWait() && r.reply.Wait > 0 {
		return ctx.Err() == nil
	}
	p.excluded[r.server] = true
	if r.reply.Wait > 0 {
		if p.busyServers++; p.recordWait(r.reply.Wait) {
			p.leastBusy = r.server
		}
	}
	return ctx.Err() == nil && p.busyServers < maxBusyServers && len(p.trace) < maxNoWaitAttempts+2*maxBusyServers
}

// finalAnswer returns the answer to a call for which no attempt succeeded.
func (p *pendingCall) finalAnswer(ctx context.Context) *Answer {
	timedOut := !p.n.d.Now().Before(p.deadline) || ctx.Err() != nil
	stopping := p.n.calls.Err() != nil
	switch {
	case p.serverError != nil:
		return p.serverError
	case p.maybeRan && stopping:
		return &Answer{Refusal: refuse.New(refuse.AnswerLost, refuse.RanUnknown, "the daemon stopped before the answer")}
	case p.maybeRan && timedOut:
		return &Answer{Refusal: refuse.New(refuse.DeadlinePassed, refuse.RanUnknown, "no answer in time")}
	case p.maybeRan:
		return &Answer{Refusal: refuse.New(refuse.AnswerLost, refuse.RanUnknown, "no answer of a backend server")}
	case stopping:
		return p.n.refusedAtEnd()
	case p.refusal == nil:
		p.refusal = refuse.NotRun(refuse.NoServer, "no backend server took the call")
	}
	return &Answer{Refusal: p.refusal, RetryAfter: max(minRetryAfter, p.shortestWait, p.untilTrial)}
}

// recordAttempt adds the attempt to the trace and updates the latency statistics.
func (p *pendingCall) recordAttempt(r result) {
	s := attempt{server: r.server, took: r.took, outcome: "Unreachable"}
	if r.err == nil {
		s.outcome, s.reason = outcomeName(r.reply), string(r.reply.Reason)
		if r.reply.Outcome == answered && r.reply.Status < 400 {
			p.n.latencies.add(p.route.ID, p.service, r.took, r.reply.Took)
			p.n.recordSize(p.route.ID, len(r.reply.Body), r.reply.Took)
		}
	} else if mayHaveRun(r.err) {
		s.outcome = "NoAnswer"
	}
	p.trace = append(p.trace, s)
}
