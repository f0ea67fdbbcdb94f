package mesh

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// greet tells the other side of a new link who this is and which configuration it has. A daemon without
// configuration asks for it: the store may be away.
func (n *Node) greet(c *link.Conn) {
	self := n.self()
	n.notify(c, &notice{Self: &self, Version: n.Version(), Want: n.Version() == 0})
}

func (n *Node) notify(c *link.Conn, m *notice) {
	b, err := wire.Encode(m)
	if err != nil {
		n.d.Log.Emit(event.CallUnencodable, "Error", err)
		return
	}
	c.Notify(b)
}

// heardNotice takes a notice of another daemon.
func (n *Node) heardNotice(c *link.Conn, body []byte) {
	var m notice
	if err := wire.Decode(body, &m); err != nil {
		n.d.Log.Emit(event.NoticeUnreadable, "From", c.RemoteAddr(), "Error", err)
		return
	}
	if m.Self != nil && m.Self.Addr != n.d.Self {
		n.learn(*m.Self, true)
	}
	for _, p := range m.Peers {
		if p.Addr != n.d.Self {
			n.learn(p, false)
			n.roster.stored(p.Addr, heardRevision)
		}
	}
	if len(m.Config) > 0 && m.Version > n.Version() {
		raw, err := wire.Expand(m.Config)
		if err != nil {
			n.d.Log.Emit(event.NoticeUnreadable, "From", c.RemoteAddr(), "Error", err)
			return
		}
		n.adopt(raw, "Peer", c.RemoteAddr().String())
	}
	n.suspects.Merge(m.Suspects)
	n.readers.heard(n, c, &m)
	switch {
	case m.Follow:
		n.serveFollower(c, m.Version)
	case m.Want:
		n.teach(c, m.Version)
	case m.Version > n.Version():
		n.noticeVersion(m.Version)
	}
}

// heardRevision stands for the revision of an entry that another daemon has read.
const heardRevision = 1

// learn takes what is known of a peer. Its server is a new one to the board if its process is.
func (n *Node) learn(p Peer, direct bool) {
	old, known := n.roster.get(p.Addr)
	if !n.roster.merge(p, direct) {
		return
	}
	switch {
	case !known || old.Server == nil || p.Server == nil || old.Server.ID != p.Server.ID || old.Server.Born != p.Server.Born:
		n.board.Reset(p.Addr)
	case old.Life != p.Life:
		n.board.Forget(p.Addr)
	}
	kv := []any{"Peer", p.Addr, "Life", p.Life, "Seq", p.Seq, "Stopping", p.Stopping, "Direct", direct}
	if p.Server != nil {
		kv = append(kv, "Server", p.Server.ID, "Service", p.Server.Service, "State", p.Server.State)
	}
	n.d.Log.Emit(event.PeerChanged, kv...)
}

// teach sends all peers, and the configuration to a daemon that has an earlier one.
func (n *Node) teach(c *link.Conn, has ident.Version) {
	self := n.self()
	m := &notice{Self: &self, Peers: n.roster.all(n.d.Self), Full: n.fresh(), Fresh: n.fresh(), Version: n.Version()}
	if has < m.Version {
		m.Config = n.packed()
	}
	n.notify(c, m)
}

// packed returns the configuration in force, compressed once for all who ask for it.
func (n *Node) packed() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.zipped == nil && n.raw != nil {
		n.zipped = wire.Compress(n.raw)
	}
	return n.zipped
}

// askAfter is how long a daemon waits for the store to tell a configuration that another daemon has. A
// configuration is large; as long as the store tells it there is no need to send it twice.
const askAfter = time.Second

// noticeVersion notes that another daemon has a later configuration. The store is asked at once; a daemon
// that is cut off from it asks another daemon.
func (n *Node) noticeVersion(v ident.Version) {
	if v <= n.Version() || !n.asking.CompareAndSwap(false, true) {
		return
	}
	select {
	case n.hurry <- struct{}{}:
	default:
	}
	time.AfterFunc(askAfter, func() {
		n.asking.Store(false)
		if n.Version() >= v {
			return
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		for c := range n.conns { // one of them, by the random order of a map
			n.notify(c, &notice{Version: n.Version(), Want: true})
			return
		}
	})
}

// publish tells other daemons, over open links and through the store, what has changed here.
func (n *Node) publish() {
	n.mu.Lock()
	n.seq++
	n.mu.Unlock()
	self := n.self()
	n.learnSelf(self)
	n.mu.Lock()
	for c := range n.conns {
		n.notify(c, &notice{Self: &self, Version: n.Version()})
	}
	n.mu.Unlock()
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// self returns this daemon as others are to know it.
func (n *Node) self() Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := Peer{Addr: n.d.Self, Place: n.d.Place, Life: n.life, Seq: n.seq, Stopping: n.stopping.Load()}
	if n.server != nil {
		s := n.server.Server
		p.Server = &s
	}
	return p
}

func (n *Node) learnSelf(p Peer) { n.learn(p, true) }
