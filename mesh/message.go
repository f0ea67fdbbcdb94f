package mesh

import (
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/poison"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/route"
)

// request is a call as it is sent to the daemon beside the chosen backend server.
type request struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	ID         string
	Service    ident.ServiceID
	Route      ident.RouteID
	Instance   string // id of the backend server that is meant
	Caller     ident.ServiceID
	Method     string
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	Priority   int
	Goal       time.Duration // left
	Left       time.Duration // until the caller's deadline or the route's timeout
	Patience   time.Duration
	Version    ident.Version
}

// outcome says what became of a request at the daemon beside the backend server.
type outcome uint8

const (
	answered outcome = iota + 1 // by the backend server
	bounced                     // not run, and not sent to the backend server
	shed                        // sent to the backend server, which states that it did not run it
	lost                        // sent to the backend server; it may have run
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
	Wait     time.Duration // with bounced: until the server is likely to take such a request
	Turn     time.Duration // with bounced: for which the request would have waited
	Took     time.Duration // with answered: at the backend server
	Report   route.Report
	Version  ident.Version
}

// notice tells another daemon what has changed. Absent parts say nothing.
type notice struct {
	_msgpack struct{}         `msgpack:",as_array"` //nolint:unused // read by msgpack
	Self     *Peer            // the sender
	Peers    []Peer           // others that the sender knows
	Gone     []ident.Addr     // daemons whose entries the store no longer holds
	Full     bool             // Peers are all whose entries the store holds
	Version  ident.Version    // of the configuration that the sender has
	Config   []byte           // in the operators' encoding, compressed
	Want     bool             // the sender asks for configuration and peers
	Follow   bool             // the sender asks for them now and for all changes from now on
	Fresh    bool             // the sender reads the store and has what it holds
	Suspects []poison.Suspect // requests that were in flight when backend servers crashed
}
