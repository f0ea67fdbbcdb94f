package mesh

import (
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/poison"
	"github.com/marjoramcroft/marjoramcroft/rate"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/route"
	"github.com/marjoramcroft/marjoramcroft/store"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// request is a call as sent to the daemon beside the selected backend server.
type request struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID         string
	Service    ident.ServiceID
	Route      ident.RouteID
	Instance   string // id of the intended backend server
	Caller     ident.ServiceID
	Method     string
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	Priority   int
	Goal       time.Duration // time left until the goal
	TimeLeft   time.Duration // until the caller's deadline or the route's timeout
	MaxWait    time.Duration
	Version    ident.Version
	Repeat     bool // another attempt of the call has reached a backend server, or may have
	// Account is the account of the caller; empty: none. It is sent as the field Names.Account of Header: daemons of the
	// build before accounts cannot decode a request with one more field, and they forward that one.
	Account ident.AccountID `msgpack:"-"`
}

// outcome is the result of a request at the daemon beside the backend server.
type outcome uint8

const (
	answered outcome = iota + 1 // by the backend server
	rejected                    // not run and not sent to the backend server
	shed                        // sent to the backend server, which did not run it
	lost                        // sent to the backend server; may have run
)

// reply is the answer to a request.
type reply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Outcome  outcome
	Status   int
	Header   http.Header
	Body     []byte
	Reason   refuse.Reason
	Detail   string
	Wait     time.Duration // if rejected: expected time until the server accepts such a request
	Turn     time.Duration // if rejected: how long the request would have been queued
	Took     time.Duration // if answered: processing time at the backend server
	Report   route.Report
	Version  ident.Version
}

// storedPeer is a daemon with the position of its entry in the store; revision zero: it has none.
type storedPeer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Peer     Peer
	Revision int64
	Era      store.Era
}

func newStoredPeer(p Peer, at store.Position) storedPeer {
	return storedPeer{Peer: p, Revision: at.Revision, Era: at.Era}
}

func (p *storedPeer) position() store.Position {
	return store.Position{Era: p.Era, Revision: p.Revision}
}

// removedPeer is a daemon whose entry was absent from the store at a position.
type removedPeer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Addr     ident.Addr
	Revision int64
	Era      store.Era
}

func newRemovedPeer(a ident.Addr, at store.Position) removedPeer {
	return removedPeer{Addr: a, Revision: at.Revision, Era: at.Era}
}

func (p *removedPeer) position() store.Position {
	return store.Position{Era: p.Era, Revision: p.Revision}
}

// minPackedPeers is the number of peers from which a notice has them compressed. The links of small VMs carry some
// 10 Mbit/s, and all daemons of a data centre may start at once.
const minPackedPeers = 8

// encode returns m in its wire format.
func (m *notice) encode() ([]byte, error) {
	if len(m.Peers) < minPackedPeers {
		return wire.Encode(m)
	}
	peers, err := wire.Encode(m.Peers)
	if err != nil {
		return nil, err
	}
	packed := *m
	packed.Peers, packed.PackedPeers = nil, wire.Compress(peers)
	return wire.Encode(&packed)
}

// decodeNotice decodes the output of encode.
func decodeNotice(b []byte) (*notice, error) {
	var m notice
	if err := wire.Decode(b, &m); err != nil {
		return nil, err
	}
	if len(m.PackedPeers) == 0 {
		return &m, nil
	}
	peers, err := wire.Decompress(m.PackedPeers)
	if err != nil {
		return nil, err
	}
	return &m, wire.Decode(peers, &m.Peers)
}

// notice sends state changes to another daemon. Absent fields carry no information.
type notice struct {
	_msgpack  struct{}         `msgpack:",as_array"` //nolint:unused // read by msgpack
	Self      *Peer            // the sender
	Peers     []storedPeer     // daemons known to the sender
	Gone      []removedPeer    // daemons whose entries were removed from the store
	Full      bool             // Peers has all entries that the store had at AsOf
	Version   ident.Version    // configuration version of the sender
	Config    []byte           // that version in the operators' encoding, compressed
	WantState bool             // the sender requests the configuration and peers
	Subscribe bool             // the sender requests them and all later changes
	UpToDate  bool             // the sender's state was that of the store Age ago
	Suspects  []poison.Suspect // requests in flight when backend servers crashed
	// Base is the version against which Config is compressed; zero: none, Config is complete.
	Base        ident.Version
	Age         time.Duration
	AsOf        int64 // revision of the store up to which the sender has all entries, in Era
	Unsubscribe bool  // the sender needs no further changes
	// Brief, with Subscribe, requests only confirmations: UpToDate, Age, AsOf and Version.
	Brief bool
	// PackedPeers holds Peers, encoded and compressed, if there are many.
	PackedPeers []byte
	Era         store.Era // of AsOf
}

// rateNotice is a message about rate limits, with one of its fields. It is encoded as a map, which tells it from a notice:
// daemons of a build without rate limits decode it as a notice without fields.
type rateNotice struct {
	Ask   *rate.Ask
	Reply *rate.Reply
}

// isRateNotice reports whether a notice has the encoding of a rateNotice: that of a map with up to 15 fields.
func isRateNotice(body []byte) bool { return len(body) > 0 && body[0]&0xf0 == 0x80 }

// position returns the position of the store up to which the sender has all entries.
func (m *notice) position() store.Position {
	return store.Position{Era: m.Era, Revision: m.AsOf}
}

func (m *notice) setPosition(at store.Position) { m.AsOf, m.Era = at.Revision, at.Era }
