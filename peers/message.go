package peers

import (
	"errors"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Message types of the package.
const (
	TypeHeartbeat wire.Type = "peers.Heartbeat" // Heartbeat -> HeartbeatAnswer or nil
	TypeBeat      wire.Type = "peers.Beat"      // Beat -> HeartbeatAnswer or nil
	TypeAnnounce  wire.Type = "peers.Announce"  // Announce -> AnnounceAnswer
	TypeUse       wire.Type = "peers.Use"       // Use -> ServerList
	TypeServers   wire.Type = "peers.Servers"   // notice, ServerList
	TypeDigest    wire.Type = "peers.Digest"    // Digest -> DigestAnswer or nil
	TypeScopes    wire.Type = "peers.Scopes"    // empty -> list of ScopeDigest
	TypeWant      wire.Type = "peers.Want"      // Want -> ServerList
	TypeRanking   wire.Type = "peers.Ranking"   // empty -> Ranking
	TypeSuspect   wire.Type = "peers.Suspect"   // notice, Suspect
)

var errUnknownState = errors.New("unknown state of a server")

// Heartbeat is sent to the upstream every 2 s. If only the Version has changed since the
// last one on the connection, a Beat is sent instead. With frame and envelope a Heartbeat
// takes 83 bytes, a Beat 28 and a nil answer 18.
type Heartbeat struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Addr        ident.Addr
	DataCentre  ident.DataCentre
	Incarnation ident.Incarnation
	Version     ident.Version
	State       uint8
	LoadHint    int
	Forwarder   bool   // the sender is a forwarder, monitored by its siblings
	Seq         uint64 // of the last announcement
	Ranking     int64  // stamp of the ranking that the sender knows
	Used        uint64 // digest of the known servers of the used services
}

// Beat repeats the last Heartbeat on the connection with a new Version.
type Beat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Version  ident.Version
}

// HeartbeatAnswer is the answer of the upstream. Nil stands for an answer from a forwarder
// with the Version of the heartbeat and no requests.
type HeartbeatAnswer struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Version    ident.Version
	Forwarder  bool    // the receiver of the heartbeat is a forwarder of the data centre
	Forwarders Ranking // only if newer than the sender's
	Lost       []ident.DataCentre
	Announce   bool // the sender must announce itself again
	Renew      bool // the sender is suspect and must announce all rows with higher sequence numbers
	Refresh    bool // the sender's server lists differ
}

// Announce carries all servers of a daemon and the record of the daemon itself.
type Announce struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Relayed  bool     // by a daemon that is not a forwarder
	Ranking  Ranking  // as the sender knows it
	Rows     []serverRow
}

// AnnounceAnswer states whether the receiver is a forwarder, and its ranking.
type AnnounceAnswer struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Forwarder  bool
	Forwarders Ranking
	Renew      bool // a server is recorded as gone: announce it with a higher sequence number
}

// Ranking lists the forwarders of a data centre by rank; it is empty if the daemon does not
// know them. Of two rankings the one with the higher stamp wins.
type Ranking struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Stamp      int64    // at least the Unix time in ms at which it was computed
	Forwarders []ident.Addr
}

// ServiceDigest is the digest of the servers of one service.
type ServiceDigest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Service  ident.ServiceID
	Digest   uint64
}

// Use subscribes the sender to services. The answer lists the servers of those whose digest
// differs; later changes are pushed.
type Use struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Services []ServiceDigest
}

// Digest is sent by a forwarder to its siblings and to forwarders of other data centres.
// With frame and envelope it takes 39 bytes between data centres, and about 70 between
// siblings with ten data centres.
type Digest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	From     *Sender  // nil if unchanged since the last digest on the connection
	// Totals holds the digest of all scopes between siblings. Between data centres it holds
	// the digests of the sender's and of the receiver's servers. Zero is not compared.
	Totals []uint64
	Heard  []HeardCentre // directly by the sender since its last digest; only between siblings
}

// Sender identifies the sender of a digest and the rankings that it knows.
type Sender struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Addr       ident.Addr
	DataCentre ident.DataCentre
	Forwarders Ranking // of its data centre
	KnownStamp int64   // stamp of the receiver's ranking
}

// HeardCentre states how long ago a digest of a data centre arrived.
type HeardCentre struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	DataCentre ident.DataCentre
	Age        int64 // ms
}

// DigestAnswer states whether the receiver is a forwarder, and the ranking if the sender's
// is older. Nil stands for an answer from a forwarder with nothing else to report.
type DigestAnswer struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Forwarder  bool
	Forwarders Ranking
	Renew      bool // the sender is suspect and must announce all rows with higher sequence numbers
}

// ScopeDigest is the digest of all services within a scope.
type ScopeDigest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Scope    scope
	Digest   uint64
}

// Want requests the servers within a scope of the services whose digest differs.
type Want struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Scope    scope
	Have     []ServiceDigest
}

// Suspect reports a daemon that missed its heartbeats.
type Suspect struct {
	_msgpack struct{}         `msgpack:",as_array"` //nolint:unused // read by msgpack
	From     ident.DataCentre // of the forwarder that relays it to another forwarder
	Control  ident.Addr
	Place    ident.Place
}

// ServerList is a list of servers: all servers of Services if that is set, otherwise only
// changes.
type ServerList struct {
	_msgpack struct{}         `msgpack:",as_array"` //nolint:unused // read by msgpack
	From     ident.DataCentre // of the forwarder that relays changes to another forwarder
	Services []ident.ServiceID
	Rows     []serverRow
}

// serverRow is the wire form of a Server, about 85 bytes. A push of one change takes 130
// bytes with frame and envelope.
type serverRow struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Service     ident.ServiceID
	Addr        ident.Addr
	Control     ident.Addr
	Backend     ident.Addr
	Region      ident.Region
	DataCentre  ident.DataCentre
	Slots       ident.Units
	Conns       int
	State       uint8
	Incarnation ident.Incarnation
	Seq         uint64
}

func toRow(s Server) serverRow {
	r := serverRow{
		Service: s.Service, Addr: s.Addr, Control: s.Control, Region: s.Place.Region,
		DataCentre: s.Place.DataCentre, Slots: s.Slots, Conns: s.Conns, State: s.State.code(),
		Incarnation: s.Incarnation, Seq: s.Seq,
	}
	if s.isDaemon() {
		r.Backend = s.Backend // the forwarder that receives the daemon's heartbeats
	}
	return r
}

func toRows(list []Server) []serverRow {
	out := make([]serverRow, 0, len(list))
	for _, s := range list {
		out = append(out, toRow(s))
	}
	return out
}

func (r serverRow) server() (Server, error) {
	st, ok := stateFromCode(r.State)
	if !ok {
		return Server{}, errUnknownState
	}
	return Server{
		Service: r.Service, Addr: r.Addr, Control: r.Control, Backend: r.Backend,
		Place: ident.Place{Region: r.Region, DataCentre: r.DataCentre}, Slots: r.Slots, Conns: r.Conns,
		State: st, Incarnation: r.Incarnation, Seq: r.Seq,
	}, nil
}

// servers decodes the rows. An invalid row invalidates the whole list.
func (l ServerList) servers() ([]Server, error) {
	out := make([]Server, 0, len(l.Rows))
	for _, r := range l.Rows {
		s, err := r.server()
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}
