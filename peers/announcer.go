package peers

import (
	"context"
	"sync"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// announcer sends the forwarder the records of the daemon and its backend servers, and
// the services that the daemon uses.
type announcer struct {
	a    *Agent
	wake chan struct{}

	mu          sync.Mutex
	seq         uint64
	rows        map[key]Server // the daemon's own record and its servers
	announceDue bool           // rows must be announced
	compareDue  bool           // lists of the used services must be compared
	renewDue    bool           // the daemon's own record needs a new sequence number
	left        bool           // the daemon has announced that it is gone
}

// key identifies a server.
type key struct {
	service ident.ServiceID
	addr    ident.Addr
}

func newAnnouncer(a *Agent) *announcer {
	return &announcer{a: a, wake: make(chan struct{}, 1), rows: map[key]Server{}, renewDue: true, announceDue: true}
}

// set updates one of the daemon's own servers.
func (n *announcer) set(s Server) {
	n.mu.Lock()
	if n.left {
		n.mu.Unlock()
		return
	}
	s = n.stamp(s)
	n.announceDue = true
	n.mu.Unlock()
	n.a.d.Registry.apply(s, fromSelf)
	n.wakeUp()
}

// stamp gives s the next sequence number and stores it. It must be called with mu held.
func (n *announcer) stamp(s Server) Server {
	n.seq++
	s.Control, s.Place, s.Incarnation, s.Seq = n.a.d.Addr, n.a.d.Place, n.a.d.Incarnation, n.seq
	n.rows[key{s.Service, s.Addr}] = s
	return s
}

// reconnected schedules a full announcement to a new forwarder. The daemon's own record
// gets a higher sequence number, since it names the forwarder that receives its
// heartbeats. Its servers keep theirs, so that they are not propagated again.
func (n *announcer) reconnected() {
	n.mu.Lock()
	if n.left {
		n.mu.Unlock()
		return
	}
	n.announceDue, n.compareDue, n.renewDue = true, true, true
	n.mu.Unlock()
	n.wakeUp()
}

// apply writes rows to the local registry. It leaves out the daemon's own record while that
// has no forwarder address: links that a former forwarder still has open would propagate
// it without one.
func (n *announcer) apply(rows []Server) {
	for _, s := range rows {
		if !s.isDaemon() || s.Backend != "" {
			n.a.d.Registry.apply(s, fromSelf)
		}
	}
}

// renewDaemon gives the daemon's own record a new sequence number if one is due. via is the
// forwarder that receives its heartbeats; if empty, the receiver fills it in.
func (n *announcer) renewDaemon(via ident.Addr) {
	n.mu.Lock()
	if !n.renewDue || n.left {
		n.mu.Unlock()
		return
	}
	n.renewDue = false
	m := n.stamp(Server{
		Service: daemonService(n.a.d.Place.DataCentre), Addr: n.a.d.Addr, Backend: via, State: Ready,
	})
	n.mu.Unlock()
	n.apply([]Server{m})
}

// renew gives all servers higher sequence numbers, which clears suspicion and overrides a
// forwarder's declaration that they are gone.
func (n *announcer) renew() {
	n.mu.Lock()
	if n.left {
		n.mu.Unlock()
		return
	}
	var changed []Server
	for _, s := range n.sorted() {
		if s.State != Gone {
			changed = append(changed, n.stamp(s))
		}
	}
	n.announceDue = true
	n.mu.Unlock()
	n.apply(changed)
	n.wakeUp()
}

// refute renews all servers if s is one of them and other daemons consider it gone.
func (n *announcer) refute(s Server) {
	n.mu.Lock()
	own, ok := n.rows[key{s.Service, s.Addr}]
	n.mu.Unlock()
	if ok && s.State == Gone && own.State != Gone && s.Incarnation == own.Incarnation && s.Seq >= own.Seq {
		n.renew()
	}
}

// leave announces the daemon and its servers as gone and returns when the forwarder has
// acknowledged it, or after pushTimeout.
func (n *announcer) leave(ctx context.Context) {
	n.mu.Lock()
	var gone []Server
	for _, s := range n.sorted() {
		s.State = Gone
		gone = append(gone, n.stamp(s))
	}
	n.left = true
	n.mu.Unlock()
	n.apply(gone)
	if n.a.IsForwarder() {
		_ = delay.Sleep(ctx, 2*coalesceDelay) // time for the links to send it
		return
	}
	if c := n.a.d.Upstream(); c != nil {
		_ = n.announce(ctx, c, gone) // on failure, missed heartbeats have the same effect later
	}
}

// sorted must be called with mu held.
func (n *announcer) sorted() []Server {
	out := make([]Server, 0, len(n.rows))
	for _, s := range n.rows {
		out = append(out, s)
	}
	sortServers(out)
	return out
}

func (n *announcer) state() (State, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	st := Starting
	for _, s := range n.rows {
		if !s.isDaemon() {
			st = s.State
		}
	}
	return st, n.seq
}

// refresh schedules a comparison of the lists of the used services with the forwarder's.
func (n *announcer) refresh() {
	n.mu.Lock()
	n.compareDue = true
	n.mu.Unlock()
	n.wakeUp()
}

func (n *announcer) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run sends pending announcements. What could not be sent stays pending until the next
// connection.
func (n *announcer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		}
		n.flush(ctx)
	}
}

func (n *announcer) flush(ctx context.Context) {
	if n.a.IsForwarder() {
		// A forwarder's links propagate the rows of its own registry.
		n.renewDaemon(n.a.d.Addr)
		n.mu.Lock()
		n.announceDue, n.compareDue = false, false
		n.mu.Unlock()
		return
	}
	c := n.a.d.Upstream()
	if c == nil {
		return
	}
	n.renewDaemon("")
	n.mu.Lock()
	announceDue, compareDue := n.announceDue, n.compareDue
	n.announceDue, n.compareDue = false, false
	rows := n.sorted()
	n.mu.Unlock()
	if announceDue && !n.announce(ctx, c, rows) {
		n.mu.Lock()
		n.announceDue, n.compareDue = true, true
		n.mu.Unlock()
		_ = c.Close() // the upstream does not respond; the subscriber connects to another
		return
	}
	if compareDue && !n.use(ctx, c) {
		n.mu.Lock()
		n.compareDue = true
		n.mu.Unlock()
	}
}

// announce sends all own rows. The receiver adds its address to the daemon's record.
func (n *announcer) announce(ctx context.Context, c *wire.Conn, rows []Server) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var out AnnounceAnswer
	if err := c.Call(ctx, TypeAnnounce, Announce{Ranking: n.a.ranks.confirmed(), Rows: toRows(rows)}, &out); err != nil {
		n.a.d.Stats.Inc("Peers.AnnounceFailed")
		return false
	}
	n.a.ranks.learn(out.Forwarders)
	if out.Forwarder {
		n.a.ranks.markAnswered()
	} else {
		// The rows are announced again once the subscriber is connected to a forwarder.
		n.a.d.Stats.Inc("Peers.AnnouncedAstray")
	}
	if out.Renew {
		n.renew()
	}
	return true
}

func (n *announcer) use(ctx context.Context, c *wire.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out ServerList
	if err := c.Call(ctx, TypeUse, Use{Services: n.a.used.digests(n.a.d.Registry)}, &out); err != nil {
		return false
	}
	if n.a.applyList(out, fromForwarder) != nil {
		return false
	}
	listed := map[ident.ServiceID]map[ident.Addr]struct{}{}
	for _, id := range out.Services {
		listed[id] = map[ident.Addr]struct{}{}
	}
	for _, r := range out.Rows {
		if addrs, ok := listed[r.Service]; ok {
			addrs[r.Addr] = struct{}{}
		}
	}
	for id, addrs := range listed {
		n.a.d.Stats.Add("Peers.Unlisted", int64(n.a.d.Registry.forgetUnlisted(id, addrs, unlistedGrace)))
	}
	return true
}
