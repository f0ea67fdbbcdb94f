package quota

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Message types of the package.
const (
	// TypeSync goes from a holder to the keeper. Messages of the earlier type quota.Sync were
	// encoded with field names. The new type makes daemons with different encodings refuse
	// each other's messages instead of misreading them.
	TypeSync   wire.Type = "quota.Sync2"
	TypeLeave  wire.Type = "quota.Leave"  // from a stopping holder to the keeper
	TypeRetire wire.Type = "quota.Retire" // from an operator to the keeper
	TypeSeal   wire.Type = "quota.Seal"   // from a new keeper to the holders
	TypeList   wire.Type = "quota.List"   // from an entry daemon to any holder
	TypeFree   wire.Type = "quota.Free"   // from the keeper to a holder that waits for units
)

// Sync reports the use of a holder and asks for floating units. Members that neither hold nor
// want units are left out. Once a Grant has assigned a Peer number, Service and Addr are left
// out, as are the names of members that have a number; see syncNumbers.
type Sync struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // option of the encoder
	Service     ident.ServiceID
	Addr        ident.Addr
	Peer        uint64 // number from the last Grant that had one
	Incarnation ident.Incarnation
	Seq         uint64
	Epoch       uint64        // highest known epoch; zero before the first exchange
	State       uint64        // of the list, as in the last Grant
	Ack         uint64        // list version acknowledged
	Age         time.Duration // see Sealed
	Uses        []Use
	Pins        []PinUse // all pins that the holder has or requests
}

// Use is the floating use of one member at a holder.
type Use struct {
	_msgpack struct{}       `msgpack:",as_array"` //nolint:unused // option of the encoder
	Number   uint64         // of the member in a Sync
	Member   ident.MemberID // empty if the keeper knows Number
	Limit    ident.Units    // floating limit in effect
	Used     ident.Units    // calls above the base share
	Want     ident.Units    // floating units that would meet the demand
}

// PinUse is a pin that a holder has or requests.
type PinUse struct {
	_msgpack  struct{} `msgpack:",as_array"` //nolint:unused // option of the encoder
	ID        uint64
	Member    ident.MemberID
	Left      time.Duration // until the call's deadline
	Confirmed bool          // by this or an earlier keeper; the call may be running
}

// Grant answers a Sync.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the encoder
	Epoch    uint64
	State    uint64
	Peer     uint64            // identifies this process of the holder in the epoch; zero if the Sync had a Peer number
	Listed   bool              // the base lease is confirmed
	Clean    bool              // no calls of an earlier process can be running
	Joined   bool              // this is the first process at a newly listed address
	After    ident.Incarnation // previous process at this address if it left cleanly
	TTL      time.Duration     // of the floating units, counted from the request
	Units    []ident.Units     // floating limits of the members in the Sync, in the same order
	Pinned   []uint64          // newly confirmed pins
	List     *List             // only if the holder's State differs
}

// Seal announces a new keeper to a holder. After its answer the holder accepts no lower epoch.
type Seal struct {
	Service ident.ServiceID
	Epoch   uint64
	Keeper  ident.Addr
}

// Sealed reports what a holder has in use after it has given up its floating limits. Age is
// the time since the start of the process while calls of an earlier, unclean process may still
// run; otherwise zero.
type Sealed struct {
	Incarnation ident.Incarnation
	Age         time.Duration `msgpack:",omitempty"`
	Uses        []Use         `msgpack:",omitempty"`
	Pins        []PinUse      `msgpack:",omitempty"`
}

// Leave tells the keeper that a holder stops with no calls in flight. With Remove the holder
// also leaves the list.
type Leave struct {
	Service     ident.ServiceID
	Addr        ident.Addr
	Incarnation ident.Incarnation
	Seq         uint64
	Remove      bool
}

// Left answers a Leave.
type Left struct {
	Clean bool
}

// Retire removes an address whose VM is permanently gone.
type Retire struct {
	Service ident.ServiceID
	Addr    ident.Addr
}

// Free tells a holder that its next Sync is likely to gain or give up units. It grants
// nothing, so a lost, late or repeated Free does no harm.
type Free struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the encoder
	Service  ident.ServiceID
}

// ListRequest asks a holder for its list.
type ListRequest struct {
	Service ident.ServiceID
}
