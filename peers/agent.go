package peers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Agent runs membership and service discovery for one daemon.
type Agent struct {
	d       Deps
	ranks   *ranking
	used    *usage
	own     *announcer
	tracker *tracker
	subs    *subscribers
	links   *links
	reach   *reach

	comparing  comparisons
	heartbeats heartbeatCache
	senders    perConn[Sender] // by connection, from their digests
}

// New returns an Agent. Until Run is called, it only answers messages.
func New(d Deps) *Agent {
	if d.ForwardersChanged == nil {
		d.ForwardersChanged = func() {}
	}
	a := &Agent{d: d, used: newUsage(), tracker: newTracker(), reach: newReach()}
	a.comparing.running = map[scope]struct{}{}
	a.ranks = newRanking(a)
	a.own = newAnnouncer(a)
	a.subs = newSubscribers(a)
	a.links = newLinks(a)
	d.Registry.watchFrom(a.onChange)
	return a
}

// Run runs bootstrap, announcements and the periodic tasks until ctx is done.
func (a *Agent) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { a.ranks.bootstrap(ctx) })
	wg.Go(func() { a.own.run(ctx) })
	wg.Go(func() { a.runEvery(ctx, time.Second, func() { a.forwarderTasks(ctx) }) })
	wg.Go(func() { a.runEvery(ctx, time.Minute, a.d.Registry.sweep) })
	wg.Wait()
	a.links.close()
	return ctx.Err()
}

func (a *Agent) runEvery(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTimer(a.d.Within(d))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		f()
		t.Reset(d)
	}
}

// Forwarders returns the forwarders of the local data centre, ordered by rank.
func (a *Agent) Forwarders() []ident.Addr { return a.ranks.forwarders() }

// Contacts returns addresses in the local data centre to try when no forwarder answers.
func (a *Agent) Contacts() []ident.Addr { return a.ranks.contacts(a.d.Place.DataCentre) }

// IsForwarder reports whether this daemon is a forwarder of its data centre.
func (a *Agent) IsForwarder() bool { return slices.Contains(a.Forwarders(), a.d.Addr) }

// Announce announces a new state of the backend server beside the daemon. It fills in
// Control, Place, Incarnation and Seq, and pushes the change immediately.
func (a *Agent) Announce(s Server) { a.own.set(s) }

// Leave announces the daemon and its backend servers as gone, so that other daemons need
// not wait for missed heartbeats. The backend servers must have been drained before. Later
// announcements have no effect.
func (a *Agent) Leave(ctx context.Context) { a.own.leave(ctx) }

// Subscribe subscribes to the servers of the service. It is cheap enough to call for each request.
func (a *Agent) Subscribe(id ident.ServiceID) {
	if a.used.add(id) {
		a.own.refresh()
	}
}

// Unreachable records a failed connection to addr as an upstream. It implements fanout's
// Deps.Unreachable.
func (a *Agent) Unreachable(addr ident.Addr) {
	a.d.Registry.MarkRefused(addr)
	a.ranks.markUnreachable(addr)
}

// Connected announces the daemon again after a new upstream connection.
func (a *Agent) Connected(*wire.Conn) { a.own.reconnected() }

// onChange forwards a registry change to subscribers and linked forwarders.
func (a *Agent) onChange(s Server, from source) {
	a.d.Stats.Inc("Peers.Changes")
	if !s.isDaemon() {
		a.d.Log.Emit(event.ServerState, "Service", s.Service, "Addr", s.Addr, "State", s.State)
		a.subs.push(s)
	}
	a.links.push(s, from)
}

// forwarderTasks runs the periodic tasks of a forwarder, or closes the links of a daemon
// that is not one.
func (a *Agent) forwarderTasks(ctx context.Context) {
	if !a.IsForwarder() {
		a.links.reconcile(ctx, nil)
		return
	}
	a.links.reconcile(ctx, a.targets())
	a.tracker.check(a)
	a.reach.check(a)
	a.ranks.recompute()
}
