package mesh

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/poison"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/route"
)

// result is the end of one attempt.
type result struct {
	server ident.Addr
	reply  *reply
	err    error
	took   time.Duration
	need   route.Need
}

// offer reports whether the attempt asked for a slot that is free at once.
func (r *result) offer() bool { return r.need.Patience == 0 }

// observed returns what an attempt says of its server.
func (r *result) observed(ctx context.Context) route.Result {
	switch {
	case ctx.Err() != nil && (r.err != nil || r.reply.Outcome != answered):
		return route.Result{} // given up here, which says nothing of the server
	case r.err != nil:
		return route.Result{Refused: true, Failed: true}
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
		out.Refused = r.reply.Wait == 0 && r.reply.Reason != refuse.Poisoned
		if !r.offer() && r.reply.Turn > 0 {
			out.Turned, out.Turn = &r.need, r.reply.Turn
		}
	}
	return out
}

// settle takes the end of an attempt. It returns the answer to the call, or whether another attempt may
// be made.
func (v *visit) settle(ctx context.Context, r result) (*Answer, bool) {
	v.note(r)
	if r.offer() && r.err == nil {
		v.n.offers.add(v.service, r.reply.Outcome != bounced)
	}
	if r.err != nil {
		if mayHaveRun(r.err) {
			v.sent++
			v.maybeRan = true
			return nil, v.mayRepeat(ctx)
		}
		v.without[r.server] = true
		return nil, ctx.Err() == nil && len(v.trace) < maxOffers+maxBusy+v.route.Attempts
	}
	if r.reply.Outcome != bounced {
		v.without[r.server] = true
	}
	switch r.reply.Outcome {
	case answered:
		v.sent++
		v.n.completed(v.fingerprint, r.reply.Status)
		a := &Answer{Status: r.reply.Status, Header: r.reply.Header, Body: r.reply.Body}
		if a.Status < 500 || !v.mayRepeat(ctx) {
			return a, false
		}
		v.failure = a
		return nil, true
	case bounced:
		return nil, v.bounced(ctx, r)
	case shed:
		v.sent++
		v.refusal = refuse.NotRun(r.reply.Reason, r.reply.Detail)
		return nil, ctx.Err() == nil && v.sent < v.attempts() && v.n.retries.Take(v.service, retry.NotRun)
	default:
		v.sent++
		v.maybeRan = true
		return nil, v.mayRepeat(ctx)
	}
}

// bounced notes a server that did not take the call, and reports whether another is asked.
func (v *visit) bounced(ctx context.Context, r result) bool {
	if v.refusal == nil || r.reply.Wait > 0 {
		v.refusal = refuse.NotRun(r.reply.Reason, r.reply.Detail)
	}
	if r.reply.Reason == refuse.Poisoned {
		v.waits = poison.Expiry
		return false
	}
	if r.offer() && r.reply.Wait > 0 {
		return ctx.Err() == nil
	}
	v.without[r.server] = true
	if r.reply.Wait > 0 {
		if v.busy++; v.waitAt(r.reply.Wait) {
			v.spare = r.server
		}
	}
	return ctx.Err() == nil && v.busy < maxBusy && len(v.trace) < maxOffers+2*maxBusy
}

// outcome returns the answer to a call of which no attempt was answered well.
func (v *visit) outcome(ctx context.Context) *Answer {
	timedOut := !v.n.d.Now().Before(v.limit) || ctx.Err() != nil
	switch {
	case v.failure != nil:
		return v.failure
	case v.maybeRan && timedOut:
		return &Answer{Refusal: refuse.New(refuse.DeadlinePassed, refuse.RanUnknown, "no answer in time")}
	case v.maybeRan:
		return &Answer{Refusal: refuse.New(refuse.AnswerLost, refuse.RanUnknown, "no answer of a backend server")}
	case v.refusal == nil:
		v.refusal = refuse.NotRun(refuse.NoServer, "no backend server took the call")
	}
	return &Answer{Refusal: v.refusal, RetryAfter: max(leastRetry, v.waits)}
}

// note adds the attempt to the trace.
func (v *visit) note(r result) {
	s := step{server: r.server, took: r.took, name: "Unreachable"}
	if r.err == nil {
		s.name, s.reason = outcomeName(r.reply), string(r.reply.Reason)
		if r.reply.Outcome == answered && r.reply.Status < 400 {
			v.n.usual.add(v.route.ID, v.service, r.took, r.reply.Took)
		}
	} else if mayHaveRun(r.err) {
		s.name = "NoAnswer"
	}
	v.trace = append(v.trace, s)
}
