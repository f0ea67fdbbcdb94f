package rate

import "github.com/marjoramcroft/marjoramcroft/ident"

// Kind is what a holder asks of a keeper.
type Kind uint8

// The kinds of an Ask.
const (
	Hello   Kind = iota + 1 // whether the keeper is ready; the holder is not counted
	Attach                  // the holder asks for tokens, and counts at this keeper if it is a voter
	Release                 // the holder leaves and hands its tokens back
	Ended                   // in a Reply only: the keeper grants nothing any more
)

// Ask is a message of a holder to a keeper. Times are in milliseconds.
type Ask struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Shard    uint8
	Kind     Kind
	Seq      uint32 // increases with each message of the holder
	Life     uint32 // process of the holder
	Epoch    uint32 // process of the keeper that is meant
	Echo     int64  // Stamp of the keeper's last reply
	Held     int64  // time since that reply, at least
	Counts   bool   // the holder is a voter, and no earlier process of it counts at another keeper
	Daemons  int    // number known to the holder
	Voters   int    // number of voters of the shard known to the holder
	Items    []AskItem
}

// AskItem is the part of an Ask for one account.
type AskItem struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Account  ident.AccountID
	Need     int // tokens for calls that wait
	Spare    int // tokens for calls that are expected
	Late     int // tokens returned after they had been reported as spent
	Lots     []LotReport
}

// LotReport tells what became of tokens that the Ask with number Seq brought.
type LotReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Seq      uint32
	Spent    int
	Back     int // handed back
}

// Reply is the answer of a keeper to an Ask. Times are in milliseconds.
type Reply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Shard    uint8
	Kind     Kind
	Seq      uint32
	Epoch    uint32
	Stamp    int64
	Ready    bool  // Hello: holders may attach. Attach: the keeper counts the holder.
	Wait     int64 // Release: how long the holder must not attach to another keeper
	Items    []ReplyItem
}

// ReplyItem is the part of a Reply for one account.
type ReplyItem struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Index    int      // in Ask.Items
	Granted  int
	Wait     int64 // time until there are tokens for the calls that still wait; zero: none does
}

// Outgoing is a message to be sent to the daemon at To.
type Outgoing struct {
	To  ident.Addr
	Ask *Ask
}
