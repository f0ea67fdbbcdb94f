package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/guard"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/retry"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// EntryDeps are the dependencies of an Entry. All functions are safe for concurrent use.
type EntryDeps struct {
	Self          ident.Addr // HTTP address of this daemon
	Local         *Target    // serves calls whose chosen server is Self; nil if there is none
	Agreement     func() *agree.Agreement
	BehindVersion func(ident.Version) // called when another daemon has this higher version; may be nil
	// Choose returns a *refuse.Refusal if no server can take the call.
	Choose func(RouteRequest) (Pick, error)
	// Class returns the class of a call, corrected by the observed duration of its route; nil:
	// the declared class is used.
	Class     func(RouteRequest) agree.Class
	CountCall func(ident.ServiceID) // adds to the retry budget; may be nil
	Retry     retry.Deps
	// Claim returns a *refuse.Refusal if the key cannot be used. If Claim is nil, calls with a
	// key are refused.
	Claim  func(context.Context, KeyRequest) (KeyVerdict, error)
	Finish func(context.Context, KeyRequest, StoredAnswer) error
	// Memory limits the memory of request headers and bodies; nil: no limit.
	Memory *origin.BodyBudget
	// Transfers holds the bodies that are being read; nil: none.
	Transfers *guard.Transfers

	NewCall func() ident.CallID // unique within this daemon's process; nil: a counter with a random start
	Dial    DialFunc            // nil: TCP
	Stats   *stats.Set
	Log     *event.Log
}

// TargetDeps are the dependencies of a Target. All functions are safe for concurrent use.
type TargetDeps struct {
	Backend       func() Backend // the backend server beside this daemon, as last announced
	Agreement     func() *agree.Agreement
	BehindVersion func(ident.Version) // may be nil
	// CheckSuspect, Acquire and Enter return a *refuse.Refusal if they reject the call.
	CheckSuspect func(Suspect) error                                          // may be nil
	BeginSuspect func(s Suspect, backend ident.Addr) (end func(crashed bool)) // may be nil
	ClearSuspect func(Suspect)                                                // called when the call has completed; may be nil
	Acquire      func(context.Context, QuotaRequest) (release func(), err error)
	Enter        func(context.Context, GateRequest) (done func(GateOutcome), err error)
	Waiting      func() int // short calls that wait for a slot; may be nil

	Dial  DialFunc // nil: TCP
	Stats *stats.Set
	Log   *event.Log
}

// Backend is the backend server beside a daemon. Addr is empty if no server has announced
// itself.
type Backend struct {
	Service ident.ServiceID
	Addr    ident.Addr
	Conns   int // connection limit; zero: none declared
}

// RouteRequest asks for a server for one attempt of a call.
type RouteRequest struct {
	Service ident.ServiceID
	Member  ident.MemberID
	Class   agree.Class
	Route   ident.RouteID
	Exclude []ident.Addr // servers that this call has tried
	Hedge   bool         // for a second attempt, made while the first one is slow
	Cap     ident.Units  // of the member in the service
	Capped  bool         // a server that was tried had no free unit of the cap
}

// Pick is a chosen server. Done is called exactly once, when the attempt has ended.
type Pick struct {
	Addr ident.Addr // HTTP address of the daemon beside the backend server
	Done func(Outcome)
}

// Outcome is the result of one attempt as the entry daemon saw it.
type Outcome struct {
	Latency     time.Duration // until the response headers or the refusal
	Waiting     int           // short calls queued at the target daemon when it responded
	Refused     refuse.Reason // empty if the server answered
	Failed      bool          // no answer, or an incomplete one
	ConnRefused bool          // the address refused the connection
	Cancelled   bool          // ended by the caller, the deadline or a faster attempt; Latency is a lower bound
}

// QuotaRequest asks for a unit of a cap.
type QuotaRequest struct {
	Service  ident.ServiceID
	Member   ident.MemberID
	Class    agree.Class
	Deadline time.Time
}

// GateRequest asks for a slot of the backend server.
type GateRequest struct {
	Member ident.MemberID
	Class  agree.Class
	Route  ident.RouteID
}

// GateOutcome reports to the gate how the call ended.
type GateOutcome struct {
	Service   time.Duration // from sending to the end of the response
	Shed      bool
	Failed    bool
	Cancelled bool // Service is a lower bound
}

// Suspect identifies a request that may crash backend servers.
type Suspect struct {
	Member ident.MemberID
	Route  ident.RouteID
	Method string
	Path   string // with query
	Digest uint64 // of the first 4 KB of the body
}

// KeyRequest asks to use an idempotency key for a call.
type KeyRequest struct {
	Member   ident.MemberID
	Service  ident.ServiceID
	Key      string
	Digest   uint64       // of method, path with query and body
	Call     ident.CallID // id of this call, which identifies the claim
	Deadline time.Time
}

// KeyState is the state of an idempotency key.
type KeyState string

// The states of a key. KeyFresh means that the key is claimed and the call runs now.
const (
	KeyFresh   KeyState = "Fresh"
	KeyAnswer  KeyState = "Answer"
	KeyUnknown KeyState = "Unknown"
)

// KeyVerdict is the result of a claim. Answer is set if State is KeyAnswer.
type KeyVerdict struct {
	State  KeyState
	Answer StoredAnswer
}

// StoredAnswer is the outcome of a keyed call. Ran is RanYes for an answer of the backend
// server, RanNo if the claim is to be released, and RanUnknown if the answer was lost.
type StoredAnswer struct {
	Ran    refuse.Ran
	Kept   bool // false: the answer was larger than MaxStored, or incomplete
	Status int
	Header http.Header
	Body   []byte
}
