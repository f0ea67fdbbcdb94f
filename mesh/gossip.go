package mesh

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// sendHello sends this daemon's own state and configuration version over a new link. A daemon without a
// configuration also requests one, because the store may be unavailable.
func (n *Node) sendHello(c *link.Conn) {
	self := n.self()
	n.notify(c, &notice{Self: &self, Version: n.Version(), WantState: n.Version() == 0})
}

func (n *Node) notify(c *link.Conn, m *notice) {
	b, err := wire.Encode(m)
	if err != nil {
		n.d.Log.Emit(event.CallUnencodable, "Error", err)
		return
	}
	c.Notify(b)
}

// handleNotice applies a notice from another daemon.
func (n *Node) handleNotice(c *link.Conn, body []byte) {
	var m notice
	if err := wire.Decode(body, &m); err != nil {
		n.d.Log.Emit(event.NoticeUnreadable, "From", c.RemoteAddr(), "Error", err)
		return
	}
	if m.Self != nil && m.Self.Addr != n.d.Self {
		n.updatePeer(*m.Self, true)
	}
	for _, p := range m.Peers {
		if p.Addr != n.d.Self {
			n.updatePeer(p, false)
			n.peers.setStored(p.Addr, relayedRevision)
		}
	}
	if len(m.Config) > 0 && m.Version > n.Version() {
		raw, err := wire.Decompress(m.Config)
		if err != nil {
			n.d.Log.Emit(event.NoticeUnreadable, "From", c.RemoteAddr(), "Error", err)
			return
		}
		n.adopt(raw, "Peer", c.RemoteAddr().String())
	}
	n.suspects.Merge(m.Suspects)
	n.readers.handleNotice(n, c, &m)
	switch {
	case m.Subscribe:
		n.addFollower(c, m.Version)
	case m.WantState:
		n.sendState(c, m.Version)
	case m.Version > n.Version():
		n.observeVersion(m.Version)
	}
}

// relayedRevision is the revision recorded for a store entry that was relayed by another daemon.
const relayedRevision = 1

// updatePeer merges the state of a peer. A new backend process resets the server's load statistics.
func (n *Node) updatePeer(p Peer, direct bool) {
	old, known := n.peers.get(p.Addr)
	if !n.peers.merge(p, direct) {
		return
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
	m := &notice{Self: &self, Peers: n.peers.all(n.d.Self), Full: n.upToDate(), UpToDate: n.upToDate(), Version: n.Version()}
	if has < m.Version {
		m.Config = n.compressedConfig()
	}
	n.notify(c, m)
}

// compressedConfig returns the compressed configuration in force. It is compressed once and cached.
func (n *Node) compressedConfig() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.compressed == nil && n.raw != nil {
		n.compressed = wire.Compress(n.raw)
	}
	return n.compressed
}

// configRequestDelay is how long a daemon waits for the store to deliver a configuration that another daemon
// already has. Configurations are large, so they are not transferred twice while the store delivers them.
const configRequestDelay = time.Second

// observeVersion is called with the version of another daemon. If it is newer, the store is read at once. If
// the store has not delivered it after configRequestDelay, another daemon is asked.
func (n *Node) observeVersion(v ident.Version) {
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
	select {
	case n.entryOutdated <- struct{}{}:
	default:
	}
}

// self returns this daemon's state as sent to other daemons.
func (n *Node) self() Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := Peer{Addr: n.d.Self, Place: n.d.Place, Life: n.incarnation, Seq: n.seq, Stopping: n.stopping.Load()}
	if n.server != nil {
		s := n.server.Server
		p.Server = &s
	}
	return p
}

func (n *Node) updateSelf(p Peer) { n.updatePeer(p, true) }
