package mesh

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/rate"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/spill"
	"github.com/marjoramcroft/marjoramcroft/table"
)

// Serve answers a call from a caller on the VM. The caller has disconnected when ctx is done.
func (n *Node) Serve(ctx context.Context, c *Call) *Answer {
	p, a := n.resolve(c)
	if a == nil {
		cctx, cancel := context.WithDeadline(ctx, p.deadline)
		stop := context.AfterFunc(n.calls, cancel)
		if a = n.takeRate(cctx, p); a == nil {
			n.retries.Request(p.service)
			a = p.run(cctx)
			n.settleRate(p, a)
		}
		stop()
		cancel()
	}
	n.finish(ctx, p, a)
	return a
}

// EndCalls cancels the calls of the callers on the VM that have no answer yet, and all later ones. Each gets a refusal,
// which says whether the call may have run; one that has not may be sent again after retryAfter.
func (n *Node) EndCalls(retryAfter time.Duration) {
	n.retryAfterEnd.Store(int64(retryAfter))
	n.endCalls()
}

// refusedAtEnd returns the answer to a call that has not run when EndCalls is called, or later.
func (n *Node) refusedAtEnd() *Answer {
	return refused(refuse.Draining, "the daemon stopped before a backend server took the call", time.Duration(n.retryAfterEnd.Load()))
}

// RouteTimeout returns the timeout of the route for a host and path in the configuration in force.
func (n *Node) RouteTimeout(host, path string) (time.Duration, bool) {
	t := n.table.Load()
	if t == nil {
		return 0, false
	}
	r, ok := t.Find(host, path)
	if !ok {
		return 0, false
	}
	return r.Timeout, true
}

// resolve finds the route of a call. The answer is non-nil if the call cannot be sent to any server.
func (n *Node) resolve(c *Call) (*pendingCall, *Answer) {
	p := &pendingCall{n: n, c: c}
	if n.calls.Err() != nil {
		return p, n.refusedAtEnd()
	}
	t := n.table.Load()
	if t == nil {
		return p, refused(refuse.NoAgreement, "no configuration yet", noConfigRetry)
	}
	p.version, p.table = t.Version(), t
	choice, ok := t.Find(c.Host, c.Path)
	if !ok {
		return p, refused(refuse.NoRoute, "no route for host and path", 0)
	}
	p.route = choice
	if a := n.identify(t, p); a != nil {
		return p, a
	}
	p.service = choice.Next()
	p.deadline = c.Arrived.Add(choice.Timeout)
	if !c.Deadline.IsZero() && c.Deadline.Before(p.deadline) {
		p.deadline = c.Deadline
	}
	p.goal = c.Arrived.Add(choice.Goal)
	if strictQueues(t) && !c.Deadline.IsZero() {
		p.goal = p.goal.Add(-n.deadlines.waited(choice.ID, c.Deadline.Sub(c.Arrived)))
	}
	p.beginSpill(t)
	return p, nil
}

// noConfigRetry is the suggested retry delay while a daemon that has just started has no configuration.
// Reading it takes a few milliseconds if the store is available.
const noConfigRetry = 200 * time.Millisecond

func refused(reason refuse.Reason, detail string, retry time.Duration) *Answer {
	return &Answer{Refusal: refuse.NotRun(reason, detail), RetryAfter: retry}
}

// finish updates the statistics and writes one log line with the outcome and attempts of a call.
func (n *Node) finish(ctx context.Context, p *pendingCall, a *Answer) {
	took := n.d.Now().Sub(p.c.Arrived)
	kv := []any{"Call", p.c.ID, "Version", p.version, "Took", took}
	if p.route != nil {
		kv = append(kv, "Goal", p.route.Goal, "Route", p.route.ID, "Service", p.service, "Attempts", p.trace)
	}
	if p.account != nil {
		kv = append(kv, "Account", p.account.ID)
	}
	switch {
	case ctx.Err() != nil:
		n.d.Stats.Inc("Entry.CallerLeft")
		n.countAccount(p, "CallerLeft")
		n.d.Log.Emit(event.CallerLeft, kv...)
	case a.Refusal != nil:
		n.d.Stats.Refused(a.Refusal)
		n.countAccount(p, "Refused."+string(a.Refusal.Reason))
		n.d.Stats.Time("Entry.Refused", took)
		n.d.Log.Emit(event.CallRefused, append(kv, "Reason", a.Refusal.Reason, "Ran", a.Refusal.Ran, "Detail", a.Refusal.Detail, "RetryAfter", a.RetryAfter)...)
	default:
		n.d.Stats.Inc("Entry.Answered")
		n.countAccount(p, "Answered")
		n.d.Stats.Time("Entry.Took", took)
		n.d.Log.Emit(event.CallAnswered, append(kv, "Status", a.Status)...)
	}
}

// pendingCall is the state of a call at the daemon that received it from the caller.
type pendingCall struct {
	n        *Node
	c        *Call
	version  ident.Version
	table    *table.Table
	route    *table.WeightedRoute
	service  ident.ServiceID
	account  *table.Account // of the caller; nil: none
	ticket   rate.Ticket    // if account has a limit
	goal     time.Time      // target time for the answer
	deadline time.Time      // when the call times out

	excluded       map[ident.Addr]bool // servers that are not tried again
	started        int                 // attempts
	running        map[int]bool        // attempts without a result, by number; true: the server has become silent
	triedNoWait    map[ident.Addr]bool // servers already tried without waiting in their queue
	noWaitAttempts int
	shortestWait   time.Duration // shortest queue wait reported by a busy server
	untilTrial     time.Duration // how long a poisoned request is refused
	busyServers    int           // number of servers that were busy
	leastBusy      ident.Addr    // busy server that reported shortestWait; empty: none
	forced         bool          // a server was tried although all are believed to have queues
	queuedLate     bool          // was queued although it misses its goal
	sent           int           // attempts that reached a backend server
	executed       int           // attempts that ran, or may have
	maybeRan       bool
	serverError    *Answer // error response of a backend server, returned if no attempt succeeds
	refusal        *refuse.Refusal
	trace          trace
	spill          *spill.Call         // nil: the costs of distances are fixed
	places         map[int]ident.Place // of the servers of attempts, by number
}
