package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
)

// run makes the attempts of a call.
func (e *Entry) run(c *call) (*http.Response, *refuse.Refusal) {
	plan := retry.Plan{
		Service: c.route.Service, Class: c.route.Class, Idempotent: c.idempotent,
		Retried: c.chain.Retried, Streamed: c.body.rest != nil,
	}
	if e.d.Class != nil {
		plan.Class = e.d.Class(c.routeRequest(false))
	}
	m := attemptMaker{e, c}
	resp, err := retry.Do(c.ctx, e.d.Retry, plan, retry.AttemptFuncs[Pick, *http.Response]{
		Choose:     m.choose,
		Prepare:    m.prepare,
		Cancel:     func(p Pick) { p.Done(Outcome{Cancelled: true}) },
		Replayable: c.body.replayable,
		Drop:       func(resp *http.Response) { _ = resp.Body.Close() },
	})
	if err != nil {
		return nil, e.finalRefusal(c, asRefusal(err, refuse.AnswerLost, refuse.RanUnknown))
	}
	return resp, nil
}

// finalRefusal replaces the reason by AnswerLost if the call is not idempotent and may have
// run.
func (e *Entry) finalRefusal(c *call, ref *refuse.Refusal) *refuse.Refusal {
	if ref.Ran != refuse.RanUnknown || c.idempotent || ref.Reason == refuse.Cancelled {
		return ref
	}
	e.d.Log.Emit(event.CallLost, "Member", c.route.Member, "Route", c.route.Route, "Reason", ref.Reason, "Detail", ref.Detail)
	return refuse.New(refuse.AnswerLost, refuse.RanUnknown, ref.Detail)
}

// attemptMaker makes the attempts of a call.
type attemptMaker struct {
	e *Entry
	c *call
}

func (m attemptMaker) choose(hedge bool) (Pick, error) {
	p, err := m.e.d.Choose(m.c.routeRequest(hedge))
	if err != nil {
		return p, asRefusal(err, refuse.NoServer, refuse.RanNo)
	}
	return p, nil
}

func (c *call) routeRequest(hedge bool) RouteRequest {
	return RouteRequest{
		Service: c.route.Service, Member: c.route.Member, Class: c.route.Class, Route: c.route.Route,
		Exclude: c.tried, Hedge: hedge, Cap: c.units, Capped: c.capped.Load(),
	}
}

// prepare returns the attempt at pick. Running the attempt does not change c, so two attempts
// may run concurrently.
func (m attemptMaker) prepare(pick Pick, number int) retry.AttemptFunc[*http.Response] {
	e, c := m.e, m.c
	c.tried = append(c.tried, pick.Addr)
	hop := c.hop(e.d.NewCall(), time.Now(), number, e.isLocal(pick.Addr))
	return func(ctx context.Context) (*http.Response, error) {
		a := &attempt{e: e, c: c, pick: pick, hop: hop, start: time.Now()}
		return a.run(ctx)
	}
}

// isLocal reports whether the backend server is beside this daemon.
func (e *Entry) isLocal(a ident.Addr) bool {
	return e.d.Local != nil && a == e.d.Self
}
