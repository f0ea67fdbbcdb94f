package fanout

import (
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Message types with their request and reply.
const (
	TypeSubscribe wire.Type = "fanout.Subscribe" // Subscribe -> SubscribeReply
	TypeUpdate    wire.Type = "fanout.Update"    // Delta -> HeldState
	TypeSnapshot  wire.Type = "fanout.Snapshot"  // Snapshot -> HeldState
	TypePull      wire.Type = "fanout.Pull"      // notification with HeldState
	TypeHeartbeat wire.Type = "fanout.Beat"      // Heartbeat -> HeartbeatReply
	TypeFloor     wire.Type = "fanout.Floor"     // FloorRequest -> FloorReply
)

// Subscribe requests updates, starting from the state that the subscriber holds.
type Subscribe struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Addr        ident.Addr
	Incarnation ident.Incarnation
	Version     ident.Version
	Hash        agree.Hash
	Hops        int // redirects followed so far
}

// SubscribeReply is the reply to Subscribe. If Redirect is not empty, the subscription was
// refused and the subscriber should try one of these addresses.
type SubscribeReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Version  ident.Version
	Root     ident.Addr // root of the region, if the forwarder knows it
	Redirect []ident.Addr
}

// HeldState identifies the state that a daemon holds.
type HeldState struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Version  ident.Version
	Hash     agree.Hash
}

// FloorRequest asks for the floor of an address: the highest Version it may have served.
type FloorRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Addr     ident.Addr
	Place    ident.Place
}

// FloorReply is the reply to FloorRequest. Known is false if the peer has no information about
// the address: it serves no Version, could not read head, and has received no Version from the
// address.
type FloorReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Known    bool
	Head     bool          // the peer has just read head, so Version covers everything accepted
	Version  ident.Version // highest of head, the peer's own Version and those reported by the address
	Root     ident.Addr
}

// Heartbeat reports to the upstream which Version the daemon holds.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Addr     ident.Addr
	Version  ident.Version
}

// HeartbeatReply reports to a subscriber which Version its upstream holds.
type HeartbeatReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Version  ident.Version
}
