package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/marjoramcroft/marjoramcroft/admit"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/pace"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// handleRequest handles a request from another daemon, to which path leads. It returns the request and the encoded reply.
func (n *Node) handleRequest(ctx context.Context, path *pace.Path, body []byte) (*request, []byte) {
	var r request
	out := &reply{Outcome: rejected, Reason: refuse.BadRequest}
	memory := n.requests.Hold()
	defer memory.Release()
	if err := wire.Decode(body, &r); err != nil {
		out.Detail = err.Error()
	} else if !memory.Take(int64(len(body))) {
		a := n.RefuseForMemory(r.ID, int64(len(body)))
		out = rejection(a.Refusal)
		out.Wait = a.RetryAfter
	} else {
		n.receiveAccount(&r)
		out = n.run(ctx, &r, &egress{n.pacer, path})
		memory.Add(int64(len(out.Body))) // until the link holds it
	}
	return &r, n.encodeReply(r.ID, out)
}

// memoryRetry is the suggested retry delay for a request that could not be held. Most requests end within it.
const memoryRetry = 200 * time.Millisecond

// HoldMemory returns the memory of a request, which is empty. A request that can't be held gets RefuseForMemory.
func (n *Node) HoldMemory() *origin.Memory { return n.requests.Hold() }

// RefuseForMemory records and returns the refusal of the request id, for which size bytes are not available.
func (n *Node) RefuseForMemory(id string, size int64) *Answer {
	a := refused(refuse.MemoryFull, "the memory for requests is in use", memoryRetry)
	n.d.Stats.Refused(a.Refusal)
	n.d.Log.Emit(event.MemoryFull, "Call", id, "Bytes", size, "RetryAfter", memoryRetry)
	return a
}

// encodeReply returns the encoded reply to the request with id; nil if it can't be encoded.
func (n *Node) encodeReply(id string, r *reply) []byte {
	b, err := wire.Encode(r)
	if err != nil {
		n.d.Log.Emit(event.CallUnencodable, "Call", id, "Error", err)
		return nil
	}
	return b
}

// run forwards r to the backend server beside the daemon, and adds the daemon's load to the reply, which leaves through x; nil:
// it stays on the VM.
func (n *Node) run(ctx context.Context, r *request, x *egress) *reply {
	began := n.d.Now()
	ctx, cancel := context.WithDeadline(ctx, began.Add(r.TimeLeft))
	defer cancel()
	out := n.forwardWithEgress(ctx, r, began, x)
	x.report(&out.Report)
	level := n.slots.Status()
	out.Report.Running, out.Report.Waiting, out.Report.Slots = level.Running, level.Waiting, level.Slots
	out.Report.Mean, out.Report.Drained = level.Mean, level.DrainTime
	out.Version = n.Version()
	n.observeVersion(r.Version)
	n.d.Stats.Inc("Target." + outcomeName(out))
	// No-wait attempts that found no free slot are logged only by the sending daemon: under overload they are
	// the majority of requests.
	noWait := r.MaxWait == 0 && out.Reason == refuse.QueueFull
	if out.Outcome != answered && !noWait {
		n.d.Log.Emit(event.TargetRefused, "Call", r.ID, "Service", r.Service, "Outcome", outcomeName(out), "Reason", out.Reason,
			"Detail", out.Detail, "Running", level.Running, "Waiting", level.Waiting, "Slots", level.Slots, "Left", r.TimeLeft, "Patience", r.MaxWait)
	}
	return out
}

// forwardWithEgress is forward for a request whose answer leaves through x.
func (n *Node) forwardWithEgress(ctx context.Context, r *request, began time.Time, x *egress) *reply {
	release, err := n.reserveEgress(r, x)
	if err != nil {
		return rejection(err)
	}
	defer release()
	return n.forward(ctx, r, began)
}

func (n *Node) forward(ctx context.Context, r *request, began time.Time) *reply {
	s := n.currentServer()
	switch {
	case n.stopping.Load():
		return rejection(stoppingRefusal())
	case s == nil || s.Service != r.Service:
		return rejection(refuse.NotRun(refuse.NoServer, "no backend server of "+string(r.Service)+" here"))
	}
	if wait, err := n.checkSuspect(r.fingerprint); err != nil {
		return poisonedRejection(wait, err)
	}
	release, err := n.slots.Enter(ctx, admit.SlotRequest{
		Route: r.Route, Priority: r.Priority, Goal: began.Add(r.Goal), Deadline: began.Add(r.TimeLeft), MaxWait: r.MaxWait,
	})
	if err != nil {
		return rejection(err)
	}
	n.d.Stats.Time("Target.Wait", n.d.Now().Sub(began))
	took := time.Duration(0)
	defer func() { release(took) }()
	if s = n.currentServer(); s == nil || s.State != Ready || s.Service != r.Service {
		return rejection(refuse.NotRun(refuse.Draining, "the backend server left while the request waited"))
	}
	if wait, err := n.admitSuspect(r); err != nil {
		return poisonedRejection(wait, err)
	}
	n.retries.Run(r.Repeat)
	start := n.d.Now()
	resp, err := s.client.Do(ctx, &origin.Request{
		ID: r.ID, Method: r.Method, URI: r.URI, Host: r.Host, Header: n.withoutKey(r.Header), Body: r.Body,
		Instance: s.ID, Caller: string(r.Caller), Account: string(r.Account), Deadline: began.Add(r.TimeLeft),
	}, r.Idempotent)
	d := n.d.Now().Sub(start)
	if err != nil {
		return n.classifyFailure(ctx, s, r, err, d)
	}
	resp.Header.Del(n.d.Names.Request) // the sending daemon has it
	out := &reply{Outcome: answered, Status: resp.Status, Header: resp.Header, Body: resp.Body, Took: d}
	if resp.Load.Known {
		out.Report.Slowness = resp.Load.Slowness
	}
	replaced := resp.Instance != "" && resp.Instance != s.ID
	if replaced {
		n.d.Log.Emit(event.BackendReplaced, "Server", s.ID, "Found", resp.Instance)
	}
	switch {
	case replaced && resp.NotRun:
		out.Outcome, out.Reason, out.Detail = shed, refuse.NoServer, "another backend server has the address"
	case replaced:
		out = &reply{Outcome: lost, Reason: refuse.AnswerLost, Detail: "another backend server ran the request"}
	case resp.NotRun:
		out.Outcome, out.Reason, out.Detail = shed, refuse.Shedding, "the backend server did not run the request"
	default:
		took = d
		if resp.Status < 400 {
			n.recordSize(r.Route, len(resp.Body), d)
		}
		n.recordAnswer(r.Service, r.fingerprint(), resp.Status)
		n.d.Stats.Time("Target.Service", d)
	}
	return out
}

// classifyFailure returns the reply for a request that got no answer from the backend server.
func (n *Node) classifyFailure(ctx context.Context, s *localServer, r *request, err error, d time.Duration) *reply {
	n.d.Log.Emit(event.TargetExchangeFailed, "Call", r.ID, "Server", s.ID, "After", d, "Error", err)
	if errors.Is(err, origin.ErrInvalidAnswer) {
		n.d.Stats.Inc("Target.InvalidAnswer")
	}
	if errors.Is(err, origin.ErrRefused) {
		n.markUnreachable(s)
	}
	if !origin.MayHaveRun(err) {
		return rejection(refuse.NotRun(refuse.NoServer, err.Error()))
	}
	if errors.Is(err, origin.ErrLost) && !errors.Is(err, origin.ErrInvalidAnswer) && ctx.Err() == nil {
		n.recordLostAnswer(s, r)
	}
	return &reply{Outcome: lost, Reason: refuse.AnswerLost, Detail: err.Error()}
}

// stoppingRefusal returns the refusal used while the daemon is stopping.
func stoppingRefusal() *refuse.Refusal {
	return refuse.NotRun(refuse.Draining, "the daemon is stopping")
}

// rejection returns the reply for a request that was not sent to the backend server.
func rejection(err error) *reply {
	out := &reply{Outcome: rejected, Reason: refuse.NoServer, Detail: err.Error()}
	if ref := refuse.From(err); ref != nil {
		out.Reason, out.Detail = ref.Reason, ref.Detail
	}
	var busy *admit.Busy
	if errors.As(err, &busy) {
		out.Wait, out.Turn = busy.Wait, busy.ExpectedWait
	}
	return out
}

func outcomeName(r *reply) string {
	switch r.Outcome {
	case answered:
		return "Answered"
	case rejected:
		return "Bounced"
	case shed:
		return "Shed"
	default:
		return "Lost"
	}
}
