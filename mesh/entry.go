package mesh

import (
	"context"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/table"
)

// Serve answers a call of a caller on the VM. The end of ctx means that the caller has left.
func (n *Node) Serve(ctx context.Context, c *Call) *Answer {
	v, a := n.resolve(c)
	if a == nil {
		cctx, cancel := context.WithDeadline(ctx, v.limit)
		a = v.run(cctx)
		cancel()
	}
	n.finish(ctx, v, a)
	return a
}

// resolve finds the route of a call. The answer is set if the call cannot be sent anywhere.
func (n *Node) resolve(c *Call) (*visit, *Answer) {
	v := &visit{n: n, c: c}
	t := n.table.Load()
	if t == nil {
		return v, refused(refuse.NoAgreement, "no configuration yet", noConfigRetry)
	}
	v.version = t.Version()
	choice, ok := t.Find(c.Host, c.Path)
	if !ok {
		return v, refused(refuse.NoRoute, "no route for host and path", 0)
	}
	v.route, v.service = choice, choice.Next()
	v.limit = c.Arrived.Add(choice.Timeout)
	if !c.Deadline.IsZero() && c.Deadline.Before(v.limit) {
		v.limit = c.Deadline
	}
	v.goal = c.Arrived.Add(choice.Goal)
	n.retries.Request(v.service)
	return v, nil
}

// noConfigRetry is when a caller may try again at a daemon that has just started: reading the
// configuration takes a few milliseconds where the store is there.
const noConfigRetry = 200 * time.Millisecond

func refused(reason refuse.Reason, detail string, retry time.Duration) *Answer {
	return &Answer{Refusal: refuse.NotRun(reason, detail), RetryAfter: retry}
}

// finish counts and logs a call: one line with what decided it.
func (n *Node) finish(ctx context.Context, v *visit, a *Answer) {
	took := n.d.Now().Sub(v.c.Arrived)
	kv := []any{"Call", v.c.ID, "Version", v.version, "Took", took}
	if v.route != nil {
		kv = append(kv, "Route", v.route.ID, "Service", v.service, "Attempts", v.trace)
	}
	switch {
	case ctx.Err() != nil:
		n.d.Stats.Inc("Entry.CallerLeft")
		n.d.Log.Emit(event.CallerLeft, kv...)
	case a.Refusal != nil:
		n.d.Stats.Refused(a.Refusal)
		n.d.Stats.Time("Entry.Refused", took)
		n.d.Log.Emit(event.CallRefused, append(kv, "Reason", a.Refusal.Reason, "Ran", a.Refusal.Ran, "Detail", a.Refusal.Detail, "RetryAfter", a.RetryAfter)...)
	default:
		n.d.Stats.Inc("Entry.Answered")
		n.d.Stats.Time("Entry.Took", took)
		n.d.Log.Emit(event.CallAnswered, append(kv, "Status", a.Status)...)
	}
}

// visit is one call at the entry.
type visit struct {
	n       *Node
	c       *Call
	version ident.Version
	route   *table.Choice
	service ident.ServiceID
	goal    time.Time // until when the answer has its full worth
	limit   time.Time // until when the caller waits

	without  map[ident.Addr]bool // servers that are not asked again
	offered  map[ident.Addr]bool // servers that were asked for a slot that is free at once
	offers   int
	waits    time.Duration // shortest wait that a busy server stated
	busy     int           // servers that were busy
	spare    ident.Addr    // the busy server that stated the shortest wait; empty: none
	asked    bool          // asks a server although all are known to have queues
	waited   bool          // was sent to wait for a slot although it misses its goal
	sent     int           // attempts that reached a backend server
	maybeRan bool
	failure  *Answer // of a backend server, delivered if no attempt does better
	refusal  *refuse.Refusal
	trace    trace
}
