package daemon

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"

	"github.com/marjoramcroft/marjoramcroft/admin"
	"github.com/marjoramcroft/marjoramcroft/admit"
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/dedup"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/poison"
	"github.com/marjoramcroft/marjoramcroft/proxy"
	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/route"
)

// errNoService is returned before the backend server has announced itself for the first time.
var errNoService = errors.New("no backend server has announced itself here")

// buildCalls builds the components that route and admit calls.
func (d *Daemon) buildCalls() {
	d.chooser = route.New(route.Deps{
		Config: route.DefaultConfig(), Place: d.settings.place(), Suspect: d.registry.IsSuspect,
		Random: rand.Uint64, Stats: d.stats, Log: d.log,
	})
	d.budget = retry.NewBudget(retry.DefaultShare, d.stats)
	d.suspects = poison.New(poison.Deps{Self: d.controlAddr, Log: d.log, Stats: d.stats})
	d.holderLists = newHolderLists(d)
	d.setClaims(nil)
	d.target = proxy.NewTarget(proxy.TargetDeps{
		Backend: d.currentBackend, Agreement: d.holder.Agreement, BehindVersion: d.requestVersion,
		CheckSuspect: d.admitSuspect, BeginSuspect: d.beginSuspect, ClearSuspect: d.clearSuspect,
		Acquire: d.acquireUnit, Enter: d.enterGate, Waiting: d.waiting, Stats: d.stats, Log: d.log,
	})
	d.entry = proxy.NewEntry(proxy.EntryDeps{
		Self: d.httpAddr, Local: d.target, Agreement: d.holder.Agreement, BehindVersion: d.requestVersion,
		Choose: d.chooseServer, Class: d.classOf, CountCall: d.budget.Call,
		Retry:  retry.Deps{HedgeAfter: d.chooser.HedgeAfter, Next: retry.DefaultPolicy().Next, Take: d.budget.Take},
		Memory: d.requests, Transfers: d.transfers,
		Claim: d.claimKey, Finish: d.finishKey, Dial: d.dialContext, Stats: d.stats, Log: d.log,
	})
}

// requestVersion requests Version v from the upstream, after a call has shown that another daemon
// already has it.
func (d *Daemon) requestVersion(v ident.Version) {
	if c := d.node.Upstream(); c != nil {
		d.node.PullIfBehind(c, v)
	}
}

// setClaims sets the client of idempotency keys, which looks up the keys whose home is this daemon in
// t. If t is nil these are claimed over the network as well, and are refused.
func (d *Daemon) setClaims(t *dedup.Table) {
	deps := dedup.ClientDeps{Table: t, List: d.holderLists.get, Call: d.conns.call, Rand: rand.Float64, Stats: d.stats}
	if t != nil {
		deps.Addr = d.controlAddr
	}
	d.claims.Store(dedup.NewClient(deps))
}

func (d *Daemon) chooseServer(r proxy.RouteRequest) (proxy.Pick, error) {
	d.agent.Subscribe(r.Service)
	p, err := d.chooser.Choose(routeRequest(r), d.registry.Servers(r.Service))
	if err != nil {
		return proxy.Pick{}, err
	}
	control := p.Server.Control
	return proxy.Pick{Addr: p.Server.Addr, Done: func(o proxy.Outcome) {
		out := route.Outcome{Latency: o.Latency, Waiting: o.Waiting, Refused: o.Refused, Failed: o.Failed, ConnRefused: o.ConnRefused}
		if o.Cancelled {
			out.Refused = refuse.Cancelled
		}
		p.Done(out)
		if o.ConnRefused {
			d.registry.MarkRefused(control)
		}
	}}, nil
}

func (d *Daemon) classOf(r proxy.RouteRequest) agree.Class {
	return d.chooser.Class(routeRequest(r))
}

func routeRequest(r proxy.RouteRequest) route.Request {
	return route.Request{
		Service: r.Service, Member: r.Member, Class: r.Class, Route: r.Route, Exclude: r.Exclude,
		Hedge: r.Hedge, Cap: r.Cap, Capped: r.Capped,
	}
}

func (d *Daemon) acquireUnit(ctx context.Context, r proxy.QuotaRequest) (func(), error) {
	s := d.service.Load()
	if s == nil {
		return nil, refuse.NotRun(refuse.NoServer, errNoService.Error())
	}
	release, err := s.holder.Acquire(ctx, quota.Request{Member: r.Member, Class: r.Class, Deadline: r.Deadline})
	var ref *refuse.Refusal
	if errors.As(err, &ref) && ref.Reason == refuse.CapReached {
		k := agree.Row{Kind: agree.KindCap, Member: r.Member, Service: s.id}.Key()
		d.stats.Inc(admin.CapReachedPrefix + string(k))
	}
	return release, err
}

func (d *Daemon) enterGate(ctx context.Context, r proxy.GateRequest) (func(proxy.GateOutcome), error) {
	s := d.service.Load()
	if s == nil {
		return nil, refuse.NotRun(refuse.NoServer, errNoService.Error())
	}
	t, err := s.gate.Enter(ctx, admit.Request{Member: r.Member, Class: r.Class, Route: r.Route})
	if err != nil {
		return nil, err
	}
	return func(o proxy.GateOutcome) {
		t.Done(admit.Outcome{Service: o.Service, Shed: o.Shed, Failed: o.Failed || o.Cancelled})
	}, nil
}

// waiting returns the number of short calls that are queued for a slot of the backend server.
func (d *Daemon) waiting() int {
	if s := d.service.Load(); s != nil {
		return s.gate.Waiting()
	}
	return 0
}

func fingerprint(s proxy.Suspect) poison.Fingerprint {
	return poison.NewFingerprint(s.Member, s.Route, s.Method, s.Path, binary.BigEndian.AppendUint64(nil, s.Digest))
}

func keyRequest(r proxy.KeyRequest) dedup.Request {
	return dedup.Request{
		Scope:    dedup.Scope{Service: r.Service, Member: r.Member, Key: dedup.Key(r.Key)},
		Digest:   r.Digest,
		Call:     r.Call,
		Deadline: r.Deadline,
	}
}

func (d *Daemon) claimKey(ctx context.Context, r proxy.KeyRequest) (proxy.KeyVerdict, error) {
	d.agent.Subscribe(r.Service)
	v, err := d.claims.Load().Claim(ctx, keyRequest(r))
	switch {
	case err != nil:
		return proxy.KeyVerdict{}, err
	case v.Kind == dedup.Unknown:
		return proxy.KeyVerdict{}, v.Refusal
	case v.Kind == dedup.Replay:
		a := v.Answer
		return proxy.KeyVerdict{State: proxy.KeyAnswer, Answer: proxy.StoredAnswer{
			Ran: a.Ran, Kept: a.Kept, Status: a.Status, Header: a.Header, Body: a.Body,
		}}, nil
	}
	return proxy.KeyVerdict{State: proxy.KeyFresh}, nil
}

func (d *Daemon) finishKey(ctx context.Context, r proxy.KeyRequest, a proxy.StoredAnswer) error {
	return d.claims.Load().Finish(ctx, keyRequest(r), dedup.Answer{
		Ran: a.Ran, Kept: a.Kept, Status: a.Status, Header: a.Header, Body: a.Body,
	})
}
