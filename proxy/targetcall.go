package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
)

// targetCall is one call that the target forwards to its backend server.
type targetCall struct {
	t          *Target
	ctx        context.Context
	hop        Hop
	method     string
	backend    Backend
	pool       *pool
	start      time.Time
	done       func(GateOutcome)
	endSuspect func(bool)
	process    *process // the backend process that runs the call
	suspect    Suspect
	trace      requestTrace
	releases   []func()
}

func (c *targetCall) addRelease(f func()) { c.releases = append(c.releases, f) }

// release returns everything that the call holds.
func (c *targetCall) release() { c.takeReleases()() }

// takeReleases moves what the call holds to the returned function, which releases it in
// reverse order.
func (c *targetCall) takeReleases() func() {
	releases := c.releases
	c.releases = nil
	return func() {
		for _, f := range slices.Backward(releases) {
			f()
		}
	}
}

func (c *targetCall) run(r *http.Request, p *payload) (*http.Response, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	c.suspect = Suspect{Member: c.hop.Member, Route: c.hop.Route, Method: r.Method, Path: r.URL.RequestURI(), Digest: c.hop.Digest}
	if err := c.admit(); err != nil {
		return nil, err
	}
	return c.forward(r, p)
}

// check refuses calls that this daemon cannot forward because of its agreement or its backend
// server.
func (c *targetCall) check() error {
	a := c.t.d.Agreement()
	if a.Version() < c.hop.Version && c.t.d.BehindVersion != nil {
		c.t.d.BehindVersion(c.hop.Version)
	}
	c.backend = c.t.d.Backend()
	switch {
	case a.Version() == 0:
		return refuse.NotRun(refuse.NoAgreement, "no agreement at the target")
	case c.backend.Addr == "" || c.backend.Service != c.hop.Service:
		return refuse.NotRun(refuse.NoServer, fmt.Sprintf("target has no backend server of %s", c.hop.Service))
	case a.Cap(c.hop.Member, c.hop.Service) == 0:
		return refuse.NotRun(refuse.CapUnavailable, fmt.Sprintf("version %d has no cap of %s in %s", a.Version(), c.hop.Member, c.hop.Service))
	}
	return c.checkContext()
}

// checkContext refuses the call, as not run, if it was cancelled or its deadline has passed.
func (c *targetCall) checkContext() error {
	if err := context.Cause(c.ctx); err != nil {
		return contextRefusal(err, refuse.RanNo)
	}
	return nil
}

func (c *targetCall) admit() error {
	if f := c.t.d.CheckSuspect; f != nil {
		if err := f(c.suspect); err != nil {
			return asRefusal(err, refuse.Poisoned, refuse.RanNo)
		}
	}
	deadline, _ := c.ctx.Deadline()
	release, err := c.t.d.Acquire(c.ctx, QuotaRequest{
		Service: c.hop.Service, Member: c.hop.Member, Class: c.hop.Class, Deadline: deadline,
	})
	if err != nil {
		return waitRefusal(c.ctx, err, refuse.CapUnavailable)
	}
	c.addRelease(release)
	done, err := c.t.d.Enter(c.ctx, GateRequest{Member: c.hop.Member, Class: c.hop.Class, Route: c.hop.Route})
	if err != nil {
		return waitRefusal(c.ctx, err, refuse.QueueFull)
	}
	c.start = time.Now()
	c.done = done
	if err := c.checkContext(); err != nil {
		done(GateOutcome{Cancelled: true})
		return err
	}
	if f := c.t.d.BeginSuspect; f != nil {
		c.endSuspect = f(c.suspect, c.backend.Addr)
	}
	c.process = c.t.processes.begin(c)
	return nil
}

// cancelGrace is how long after its deadline a call counts as running if the backend server
// does not close its connection. The server is expected to stop the call at the deadline; the
// quota keeper allows the same time.
const cancelGrace = time.Second

// complete reports the end of a call that was sent to the backend server and releases what it
// holds.
func (c *targetCall) complete(o GateOutcome, crashed bool) {
	c.report(o, crashed)
	c.release()
}

func (c *targetCall) report(o GateOutcome, crashed bool) {
	if c.endSuspect != nil {
		c.endSuspect(crashed)
	}
	c.process.end(c)
	c.trace.finish()
	o.Service = time.Since(c.start)
	c.done(o)
}

// completeOnClose completes a call that this side has given up once the backend server has
// ended it: until then it uses a slot there and counts towards the cap of the member.
func (c *targetCall) completeOnClose(o GateOutcome) {
	ended := c.trace.connEnded()
	if ended == nil {
		c.complete(o, false)
		return
	}
	release := c.takeReleases()
	go func() {
		<-ended
		c.report(o, false)
		release()
	}()
}

func (c *targetCall) request(r *http.Request, p *payload) *http.Request {
	out := outgoing(r, c.backend.Addr)
	p.apply(out)
	h := out.Header
	deadline, _ := c.ctx.Deadline()
	h.Set(HeaderMember, string(c.hop.Member))
	h.Set(HeaderCall, c.hop.Call.String())
	retry.Chain{Depth: c.hop.Depth, Deadline: deadline, Retried: c.hop.Retried}.Set(h)
	return out
}

func (c *targetCall) forward(r *http.Request, p *payload) (*http.Response, error) {
	out := c.request(r, p)
	if at, ok := c.ctx.Deadline(); ok {
		c.trace.runsUntil = at.Add(cancelGrace)
	}
	c.pool = c.t.poolOf(c.backend)
	resp, err := c.pool.of(c.hop.Class).RoundTrip(out.WithContext(c.trace.attach(c.ctx)))
	if err != nil {
		return nil, c.classifyError(err, c.trace.sent())
	}
	if ref := c.verify(resp); ref != nil {
		if ref.Reason == refuse.Shedding {
			// Reads to the end so that the connection can be reused.
			_, _ = io.CopyN(io.Discard, resp.Body, MaxStored)
		}
		// Closing a body that was not read to its end closes the connection.
		_ = resp.Body.Close()
		if ref.Reason == refuse.Shedding {
			c.complete(GateOutcome{Shed: true}, false)
		} else {
			c.trace.abandonConn()
			c.completeOnClose(GateOutcome{Failed: true})
		}
		return nil, ref
	}
	stripResponse(resp.Header)
	if f := c.t.d.Waiting; f != nil {
		if n := f(); n > 0 {
			resp.Header.Set(HeaderWaiting, strconv.Itoa(n))
		}
	}
	resp.Body = &notifyingBody{ReadCloser: resp.Body, onEnd: c.bodyEnded}
	return resp, nil
}

// verify returns a refusal if resp is not a complete answer of the backend server to this
// call.
func (c *targetCall) verify(resp *http.Response) *refuse.Refusal {
	shed := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderShed) == ShedNotRun
	switch id := resp.Header.Get(HeaderCall); {
	case id == c.hop.Call.String():
		c.pool.repeatsIDs.Store(true)
	case id != "":
		c.t.d.Log.Emit(event.AnswerMismatched, "Backend", c.backend.Addr, "Call", c.hop.Call, "Got", id)
		return refuse.New(refuse.AnswerLost, refuse.RanUnknown, "the backend server answered another call")
	case c.trace.reused() && (shed || c.pool.repeatsIDs.Load()):
		// It may be a repeated answer to an earlier call on the connection, and this call may run.
		return refuse.New(refuse.AnswerLost, refuse.RanUnknown, "the answer has no call id")
	}
	if shed {
		return refuse.NotRun(refuse.Shedding, "backend server sheds load")
	}
	if !lengthKnown(c.method, resp) {
		return refuse.New(refuse.AnswerLost, refuse.RanUnknown, "the response has neither length nor chunks")
	}
	if !origin.IsFinalStatus(resp.StatusCode) {
		return refuse.New(refuse.AnswerLost, refuse.RanUnknown, fmt.Sprintf("the backend server answered with status %d", resp.StatusCode))
	}
	return nil
}

// endCause returns why the call has ended at the target; nil if it goes on. It compares the
// deadline itself, since a backend server that stops the call at the same deadline may be seen
// before the context has ended.
func (c *targetCall) endCause() error {
	if err := context.Cause(c.ctx); err != nil {
		return err
	}
	if at, ok := c.ctx.Deadline(); ok && !time.Now().Before(at) {
		return context.DeadlineExceeded
	}
	return nil
}

// classifyError maps the error of a failed exchange with the backend server to a refusal and
// completes the call.
func (c *targetCall) classifyError(err error, sent bool) error {
	cause := c.endCause()
	switch {
	case !sent && cause != nil:
		c.complete(GateOutcome{Cancelled: true}, false)
		return contextRefusal(cause, refuse.RanNo)
	case !sent:
		c.complete(GateOutcome{Failed: true}, false)
		return refuse.NotRun(refuse.NoServer, fmt.Sprintf("backend server: %v", err))
	case cause != nil:
		c.completeOnClose(GateOutcome{Cancelled: true})
		return contextRefusal(cause, refuse.RanUnknown)
	case errors.Is(err, errBody):
		c.completeOnClose(GateOutcome{Cancelled: true})
		return refuse.New(refuse.BadRequest, refuse.RanUnknown, err.Error())
	}
	c.complete(GateOutcome{Failed: true}, c.backendExited())
	return refuse.New(refuse.AnswerLost, refuse.RanUnknown, fmt.Sprintf("backend server: %v", err))
}

// bodyEnded completes the call when the response body has ended with err.
func (c *targetCall) bodyEnded(err error) {
	switch {
	case errors.Is(err, io.EOF):
		c.complete(GateOutcome{}, false)
		if f := c.t.d.ClearSuspect; f != nil {
			f(c.suspect)
		}
		c.process.removeBroken(c.suspect)
	case err == nil || c.endCause() != nil:
		c.completeOnClose(GateOutcome{Cancelled: true})
	default:
		c.complete(GateOutcome{Failed: true}, c.backendExited())
	}
}

// backendExited reports whether the process of the backend server has ended: the next one has
// announced itself, or the address refuses connections. A broken connection alone is not taken
// for a crash, which would make suspects of requests that a server merely aborts. It is
// recorded in case an announcement of the next process follows.
func (c *targetCall) backendExited() bool {
	if !c.refusesConns() && !c.process.recordBroken(c) {
		return false
	}
	c.t.recordCrash(c.suspect, c.backend.Addr)
	return true
}

// refusesConns reports whether the address of the backend server refuses connections.
func (c *targetCall) refusesConns() bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), probeTimeout)
	defer cancel()
	conn, err := c.t.dial(ctx, "tcp", string(c.backend.Addr))
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// recordCrash logs and counts a call that was running when the process at addr ended.
func (t *Target) recordCrash(s Suspect, addr ident.Addr) {
	t.d.Log.Emit(event.BackendCrashed, "Backend", addr, "Member", s.Member, "Route", s.Route, "Method", s.Method)
	t.d.Stats.Inc("Target.Crashed")
}
