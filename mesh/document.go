package mesh

import (
	"sync"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
	"github.com/marjoramcroft/marjoramcroft/table"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// document is a configuration in the operators' encoding.
type document struct {
	version  ident.Version
	raw      []byte
	compress func() []byte // computed once
}

func newDocument(v ident.Version, raw []byte) *document {
	return &document{version: v, raw: raw, compress: sync.OnceValue(func() []byte { return wire.Compress(raw) })}
}

// delta is a configuration compressed against that with version base.
type delta struct {
	base ident.Version
	data []byte
}

// document returns the configuration in force; nil if there is none.
func (n *Node) document() *document {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.doc
}

// applyConfig adopts the configuration of a notice if it is newer than the current one. A delta against another
// version than the current one is ignored: the next one of another parent fits, or the whole is requested.
func (n *Node) applyConfig(c *link.Conn, m *notice) {
	if len(m.Config) == 0 || m.Version <= n.Version() {
		return
	}
	var raw []byte
	var err error
	d := delta{base: m.Base, data: m.Config}
	if m.Base == 0 {
		raw, err = wire.Decompress(m.Config)
	} else {
		doc := n.document()
		if doc == nil || doc.version != m.Base {
			n.d.Stats.Inc("Config.DeltaUnusable")
			return
		}
		raw, err = wire.DecompressDelta(doc.raw, m.Config)
	}
	if err != nil {
		n.d.Log.Emit(event.NoticeUnreadable, "From", c.RemoteAddr(), "Error", err)
		return
	}
	n.adopt(raw, d, "Peer", c.RemoteAddr().String())
}

// adopt puts a configuration into force if it is newer than the current one, and sends it to the followers. d is
// raw as it was received; its data is nil if it comes from the store.
func (n *Node) adopt(raw []byte, d delta, from, source string) {
	spec, err := n.d.Decode(raw)
	if err != nil {
		n.d.Log.Emit(event.ConfigInvalid, "From", from, "Source", source, "Error", err)
		return
	}
	n.configMu.Lock() // followers receive configurations in order
	defer n.configMu.Unlock()
	old := n.Version()
	if spec.Version <= old {
		return
	}
	t, err := table.New(spec)
	if err != nil {
		n.d.Log.Emit(event.ConfigInvalid, "From", from, "Source", source, "Error", err)
		return
	}
	doc := newDocument(spec.Version, raw)
	n.mu.Lock()
	before := n.doc
	n.doc = doc
	n.mu.Unlock()
	n.table.Store(t)
	n.slots.SetStrict(strictQueues(t))
	n.updatePacing(t)
	n.recordSpillMode(t)
	n.rates.configure(t)
	n.d.Stats.Gauge("Config.Version", int64(spec.Version))
	n.d.Log.Emit(event.ConfigInForce, "Version", spec.Version, "Before", old, "Routes", len(spec.Routes), "Accounts", len(spec.Accounts), "KeyRequired", t.RequiresKey(), "From", from, "Source", source)
	if n.hasFollowers() {
		n.notifyFollowers(n.configNotice(before, doc, d))
	}
	n.tellParents()
}

// configNotice returns a notice with doc, as a delta against before if there is one. It reuses d if that fits.
func (n *Node) configNotice(before, doc *document, d delta) *notice {
	m := &notice{Version: doc.version}
	switch {
	case before == nil:
		m.Config = doc.compress()
	case d.base == before.version && d.data != nil:
		m.Base, m.Config = d.base, d.data
	default:
		b, err := wire.CompressDelta(before.raw, doc.raw)
		if err != nil {
			n.d.Log.Emit(event.CallUnencodable, "Error", err)
			m.Config = doc.compress()
			break
		}
		m.Base, m.Config = before.version, b
	}
	n.d.Stats.Add("Config.BytesToFollowers", int64(len(m.Config)))
	return m
}
