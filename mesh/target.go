package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/marjoramcroft/marjoramcroft/admit"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// handle takes a request of another daemon.
func (n *Node) handle(ctx context.Context, _ *link.Conn, body []byte) []byte {
	var r request
	out := &reply{Outcome: bounced, Reason: refuse.BadRequest}
	if err := wire.Decode(body, &r); err != nil {
		out.Detail = err.Error()
	} else {
		out = n.run(ctx, &r)
	}
	b, err := wire.Encode(out)
	if err != nil {
		n.d.Log.Emit(event.CallUnencodable, "Call", r.ID, "Error", err)
		return nil
	}
	return b
}

// run passes r to the backend server beside the daemon.
func (n *Node) run(ctx context.Context, r *request) *reply {
	began := n.d.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(r.Left))
	defer cancel()
	out := n.pass(ctx, r, began)
	level := n.slots.Level()
	out.Report.Running, out.Report.Waiting, out.Report.Slots = level.Running, level.Waiting, level.Slots
	out.Report.Mean, out.Report.Drained = level.Mean, level.Drained
	out.Version = n.Version()
	n.noticeVersion(r.Version)
	n.d.Stats.Inc("Target." + outcomeName(out))
	// The entry's line names the offers that were not taken. Under overload these are most of all requests.
	offer := r.Patience == 0 && out.Reason == refuse.QueueFull
	if out.Outcome != answered && !offer {
		n.d.Log.Emit(event.TargetRefused, "Call", r.ID, "Service", r.Service, "Outcome", outcomeName(out), "Reason", out.Reason,
			"Detail", out.Detail, "Running", level.Running, "Waiting", level.Waiting, "Slots", level.Slots, "Left", r.Left, "Patience", r.Patience)
	}
	return out
}

func (n *Node) pass(ctx context.Context, r *request, began time.Time) *reply {
	s := n.beside()
	switch {
	case n.stopping.Load():
		return bounce(refuse.NotRun(refuse.Draining, "the daemon is stopping"))
	case s == nil || s.Service != r.Service:
		return bounce(refuse.NotRun(refuse.NoServer, "no backend server of "+string(r.Service)+" here"))
	}
	if err := n.checkCrasher(r.fingerprint); err != nil {
		return bounce(err)
	}
	release, err := n.slots.Enter(ctx, admit.Ask{
		Route: r.Route, Priority: r.Priority, Goal: began.Add(r.Goal), Deadline: began.Add(r.Left), Patience: r.Patience,
	})
	if err != nil {
		return bounce(err)
	}
	n.d.Stats.Time("Target.Wait", n.d.Now().Sub(began))
	took := time.Duration(0)
	defer func() { release(took) }()
	if s = n.beside(); s == nil || s.State != Ready || s.Service != r.Service {
		return bounce(refuse.NotRun(refuse.Draining, "the backend server left while the request waited"))
	}
	start := n.d.Now()
	resp, err := s.client.Do(ctx, &origin.Request{
		ID: r.ID, Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body,
		Instance: s.ID, Caller: string(r.Caller), Deadline: began.Add(r.Left),
	}, r.Idempotent)
	d := n.d.Now().Sub(start)
	if err != nil {
		return n.failed(ctx, s, r, err, d)
	}
	resp.Header.Del(n.d.Names.Request) // known to the entry
	out := &reply{Outcome: answered, Status: resp.Status, Header: resp.Header, Body: resp.Body, Took: d}
	if resp.Load.Known {
		out.Report.Slowness = resp.Load.Slowness
	}
	switch {
	case resp.Instance != "" && resp.Instance != s.ID:
		n.d.Log.Emit(event.BackendReplaced, "Server", s.ID, "Found", resp.Instance)
		out.Outcome, out.Reason, out.Detail = shed, refuse.NoServer, "another backend server has the address"
	case resp.NotRun:
		out.Outcome, out.Reason, out.Detail = shed, refuse.Shedding, "the backend server did not run the request"
	default:
		took = d
		n.completed(r.fingerprint, resp.Status)
		n.d.Stats.Time("Target.Service", d)
	}
	return out
}

// failed classifies a request that has no answer of the backend server.
func (n *Node) failed(ctx context.Context, s *local, r *request, err error, d time.Duration) *reply {
	n.d.Log.Emit(event.TargetLost, "Call", r.ID, "Server", s.ID, "After", d, "Error", err)
	if errors.Is(err, origin.ErrRefused) {
		n.unreachable(s)
	}
	if !origin.MayHaveRun(err) {
		return bounce(refuse.NotRun(refuse.NoServer, err.Error()))
	}
	if errors.Is(err, origin.ErrLost) && !errors.Is(err, origin.ErrSpoiled) && ctx.Err() == nil {
		n.lostAnswer(s, r)
	}
	return &reply{Outcome: lost, Reason: refuse.AnswerLost, Detail: err.Error()}
}

// bounce returns the reply for a request that was not sent to the backend server.
func bounce(err error) *reply {
	out := &reply{Outcome: bounced, Reason: refuse.NoServer, Detail: err.Error()}
	if ref := refuse.From(err); ref != nil {
		out.Reason, out.Detail = ref.Reason, ref.Detail
	}
	var busy *admit.Busy
	if errors.As(err, &busy) {
		out.Wait, out.Turn = busy.Wait, busy.Turn
	}
	return out
}

func outcomeName(r *reply) string {
	switch r.Outcome {
	case answered:
		return "Answered"
	case bounced:
		return "Bounced"
	case shed:
		return "Shed"
	default:
		return "Lost"
	}
}
