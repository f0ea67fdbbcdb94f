package dedup

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// The message types of the package.
const (
	TypeClaim    wire.Type = "dedup.Claim"    // entry daemon to home
	TypeFinish   wire.Type = "dedup.Finish"   // entry daemon to home
	TypeHandover wire.Type = "dedup.Handover" // old home to new home
	TypeCustody  wire.Type = "dedup.Custody"  // stopping home to its custodian
	TypeReclaim  wire.Type = "dedup.Reclaim"  // restarted home to its custodian
)

// Claim asks a home whether a call may run.
type Claim struct {
	Scope
	ListVersion uint64 `msgpack:",omitempty"` // for free keys only
	Digest      uint64
	Call        ident.CallID
	Left        time.Duration // until the call's deadline
}

// Reply is the reply to a Claim.
type Reply struct {
	Kind   Kind
	Answer Answer        `msgpack:",omitempty"`
	Reason refuse.Reason `msgpack:",omitempty"`
	Ran    refuse.Ran    `msgpack:",omitempty"`
	Detail string        `msgpack:",omitempty"`
}

// Finish reports the result of a claimed call.
type Finish struct {
	Scope
	Call   ident.CallID
	Answer Answer
}

// Finished is the reply to a Finish. Moved is set if the home does not have the claim.
type Finished struct {
	Moved bool
}

// Record is the transfer format of an Entry.
type Record struct {
	Scope
	Digest  uint64
	Call    ident.CallID
	State   State
	Answer  Answer
	Left    time.Duration // until the record expires
	RunLeft time.Duration // until the deadline of a running call
}

// Handover moves records to their home under the list version. A home that leaves the list
// sends its records under the version that still contains it.
type Handover struct {
	From    ident.Addr
	Version uint64
	Records []Record
}

// Custody stores records with a custodian until the owner's next process reclaims them. The
// first message of an incarnation has Offset zero and replaces all records stored before.
type Custody struct {
	Owner       ident.Addr
	Incarnation ident.Incarnation
	Offset      int
	Records     []Record
	Complete    bool
}

// Reclaim asks a custodian for the records from Offset on.
type Reclaim struct {
	Owner       ident.Addr
	Incarnation ident.Incarnation // of the process that reclaims the records
	After       ident.Incarnation // of the process that stored them
	Offset      int
}

// Reclaimed is the reply to a Reclaim. Found is set if the custodian has all records of the
// previous process and no other process has reclaimed them.
type Reclaimed struct {
	Found   bool
	Records []Record
	Last    bool
}
