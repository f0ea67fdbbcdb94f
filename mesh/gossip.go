package mesh

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// sendHello sends this daemon's own state, configuration version and verdicts over a new link. Notices are handled in order
// with calls, so that a daemon that has just started knows the verdicts of the sender before its first call.
func (n *Node) sendHello(c *link.Conn) {
	self := n.self()
	n.notify(c, &notice{Self: &self, Version: n.Version(), Suspects: n.suspects.Verdicts()})
}

// notify sends m over c. It may be lost.
func (n *Node) notify(c *link.Conn, m *notice) {
	b, err := m.encode()
	if err != nil {
		n.d.Log.Emit(event.CallUnencodable, "Error", err)
		return
	}
	c.Notify(b)
}

// handleNotice applies a notice from another daemon.
func (n *Node) handleNotice(c *link.Conn, body []byte) {
	if isRateNotice(body) {
		n.handleRate(c, body)
		return
	}
	m, err := decodeNotice(body)
	if err != nil {
		n.d.Log.Emit(event.NoticeUnreadable, "From", c.RemoteAddr(), "Error", err)
		return
	}
	if m.Self != nil {
		n.unidentified.Remove(c)
	}
	if m.Self != nil && m.Self.Addr != n.d.Self {
		n.identifyConn(c, m.Self.Addr)
		n.limitPath(c, m.Self.Place.Region)
		n.returnDepartures(c, m.Self)
		n.updatePeer(*m.Self, true)
	}
	n.newest.observe(m.Version, time.Now())
	n.applyState(c, m)
	if more := n.mergeSuspects(m.Suspects); len(more) > 0 {
		n.notify(c, &notice{Version: n.Version(), Suspects: more})
	}
	switch {
	case m.Subscribe:
		n.addFollower(c, m)
	case m.Unsubscribe:
		n.removeFollower(c)
	case m.WantState:
		n.sendState(c, m.Version)
	case m.Version > n.Version():
		n.requestVersion(c)
		n.observeVersion(m.Version)
	}
}

// returnDepartures tells a daemon that was restarted which backend servers beside it had left before, and whether this
// daemon is a witness that there were no others. The daemon has lost that, and the store may be unavailable or not hold it.
func (n *Node) returnDepartures(c *link.Conn, self *Peer) {
	known, ok := n.peers.get(self.Addr)
	if !ok {
		return
	}
	var ended time.Duration
	if known.Life != self.Life {
		ended = n.peers.sinceEnd(self.Addr)
	}
	if left := self.lacking(&known); len(left) > 0 || ended > 0 {
		n.notify(c, &notice{Peers: []storedPeer{{Peer: Peer{Addr: self.Addr, Departed: left, SinceEnd: ended}}}, Version: n.Version()})
	}
}

// applyState applies the part of a notice that originates from the store, and passes on to the followers what is
// newer than the state so far. The store's positions order all entries, so nothing is passed on twice, even among
// daemons that follow each other.
func (n *Node) applyState(c *link.Conn, m *notice) {
	followed := n.subs.received(c, m.Version)
	n.observeEra(m.Era)
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	var out notice
	present := make(map[ident.Addr]bool, len(m.Peers))
	for _, p := range m.Peers {
		present[p.Peer.Addr] = p.Revision > 0
		if p.Peer.Addr == n.d.Self {
			n.applyOwnEntry(p.Peer, p.position())
			continue
		}
		if n.applyEntry(p.Peer, p.position()) {
			out.Peers = append(out.Peers, p)
		}
	}
	for _, g := range m.Gone {
		if n.handleRemoval(g.Addr, g.position()) {
			out.Gone = append(out.Gone, g)
		}
	}
	if m.Full {
		out.Gone = append(out.Gone, n.peers.removeAbsent(n.d.Self, present, m.position())...)
	}
	n.applyConfig(c, m)
	if followed {
		n.recordConfirmation(c, m, &out)
	}
	if len(out.Peers) > 0 || len(out.Gone) > 0 {
		out.Version = n.Version()
		out.setPosition(n.asOf)
		n.notifyFollowers(&out)
	}
}

// applyEntry applies the state of a daemon whose entry in the store is at this position, and reports whether that is
// newer than what is known of the entry.
func (n *Node) applyEntry(p Peer, at store.Position) bool {
	if at.Revision > 0 && n.peers.isRemoved(&p, at) {
		return false
	}
	n.updatePeer(p, false)
	return n.peers.setStored(p.Addr, at)
}

// recordConfirmation records how current the state is that a parent sent. The first complete state is passed on in out.
func (n *Node) recordConfirmation(c *link.Conn, m, out *notice) {
	if m.Full && n.asOf.Revision == 0 {
		out.Full, out.Peers = true, n.peers.all("")
	}
	if n.subs.recordState(c, m.Full) && m.Version <= n.Version() {
		n.asOf = n.asOf.Later(m.position())
	}
	own, shown := progress{n.asOf, n.Version()}, progress{m.position(), m.Version}
	if m.UpToDate {
		n.subs.recordAge(c, m.Age)
	}
	if m.UpToDate && !own.lacks(shown) && n.asOf.Revision > 0 {
		n.subs.confirm(m.Age)
	}
	if n.subs.recordBehind(c, own, shown, n.d.Config.inForceShare(lagShare)) {
		n.notify(c, &notice{Subscribe: true, Version: n.Version()})
	}
}

// handleRemoval handles that the store does not hold the entry of the daemon at a at a position, and reports whether
// that is newer than what is known of the entry.
func (n *Node) handleRemoval(a ident.Addr, at store.Position) bool {
	if a == n.d.Self {
		n.markEntryMissing(at)
		return false
	}
	return n.peers.clearStored(a, at)
}

// updatePeer merges the state of a peer. A new backend process resets the server's load statistics.
func (n *Node) updatePeer(p Peer, direct bool) {
	old, known := n.peers.get(p.Addr)
	if !n.peers.merge(p, direct) {
		return
	}
	if p.Addr != n.d.Self {
		n.mergeSuspects(p.Poisoned)
	}
	switch {
	case !known || old.Server == nil || p.Server == nil || old.Server.ID != p.Server.ID || old.Server.Born != p.Server.Born:
		n.board.Reset(p.Addr)
	case old.Life != p.Life:
		n.board.ClearPause(p.Addr)
	}
	kv := []any{"Peer", p.Addr, "Life", p.Life, "Seq", p.Seq, "Stopping", p.Stopping, "Direct", direct}
	if p.Server != nil {
		kv = append(kv, "Server", p.Server.ID, "Service", p.Server.Service, "State", p.Server.State)
	}
	n.d.Log.Emit(event.PeerChanged, kv...)
}

// sendState sends all peers, and the configuration if the receiver's version is older.
func (n *Node) sendState(c *link.Conn, has ident.Version) {
	self := n.self()
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	m := n.confirmation()
	m.Self, m.Peers, m.Full = &self, n.peers.all(""), n.asOf.Revision > 0
	if doc := n.document(); doc != nil && has < doc.version {
		m.Version, m.Config = doc.version, doc.compress()
	}
	n.notify(c, m)
}

// requestState requests the state of another daemon if neither the store nor a parent has delivered it for a while.
func (n *Node) requestState() {
	if d := n.d.Config.followerMaxAge(); time.Since(n.started) < d || n.subs.age() < d {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns { // map iteration order selects a random one
		n.notify(c, &notice{Version: n.Version(), WantState: true})
		return
	}
}

// configRequestDelay is how long a daemon waits for the store to deliver a configuration that another daemon
// already has. Configurations are large, so they are not transferred twice while the store delivers them.
const configRequestDelay = time.Second

// observeVersion is called with the version of another daemon. If it is newer, the store is read at once. If
// the store has not delivered it after configRequestDelay, another daemon is asked.
func (n *Node) observeVersion(v ident.Version) {
	n.newest.observe(v, time.Now())
	if v <= n.Version() || !n.configRequestPending.CompareAndSwap(false, true) {
		return
	}
	select {
	case n.newerVersion <- struct{}{}:
	default:
	}
	time.AfterFunc(configRequestDelay, func() {
		n.configRequestPending.Store(false)
		if n.Version() >= v {
			return
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		for c := range n.conns { // map iteration order selects a random one
			n.notify(c, &notice{Version: n.Version(), WantState: true})
			return
		}
	})
}

// publish sends the daemon's changed state to other daemons over open links and through the store.
func (n *Node) publish() {
	n.mu.Lock()
	n.seq++
	n.mu.Unlock()
	self := n.self()
	n.updateSelf(self)
	n.mu.Lock()
	for c := range n.conns {
		n.notify(c, &notice{Self: &self, Version: n.Version()})
	}
	n.mu.Unlock()
	n.requestEntryWrite()
}

// self returns this daemon's state as sent to other daemons.
func (n *Node) self() Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := Peer{Addr: n.d.Self, Place: n.d.Place, Life: n.incarnation, Seq: n.seq, Stopping: n.stopping.Load(), StoreLatency: n.storeLatency, Era: n.era, InDoubt: n.doubt != noDoubt}
	if n.server != nil {
		s := n.server.Server
		p.Server = &s
	}
	p.Departed, p.Poisoned = n.departures.processes(), n.verdicts
	return p
}

func (n *Node) updateSelf(p Peer) { n.updatePeer(p, true) }
