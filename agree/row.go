package agree

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Row is one entry of an agreement. Its kind determines which fields it uses.
type Row struct {
	Kind    Kind
	Member  ident.MemberID  `msgpack:",omitempty" json:",omitempty"` // member, cap, route
	Service ident.ServiceID `msgpack:",omitempty" json:",omitempty"` // service, cap, route
	Route   ident.RouteID   `msgpack:",omitempty" json:",omitempty"` // route
	Units   ident.Units     `msgpack:",omitempty" json:",omitempty"` // cap: concurrent calls
	Prefix  string          `msgpack:",omitempty" json:",omitempty"` // route: path prefix, begins with "/"
	Class   Class           `msgpack:",omitempty" json:",omitempty"` // route
	Repeat  Repeat          `msgpack:",omitempty" json:",omitempty"` // route
	Timeout time.Duration   `msgpack:",omitempty" json:",omitempty"` // route: maximum duration of a call
}

// Key returns the key that identifies r within an agreement.
func (r Row) Key() Key {
	switch r.Kind {
	case KindMember:
		return Key("member/" + r.Member)
	case KindService:
		return Key("service/" + r.Service)
	case KindCap:
		return CapKey(r.Member, r.Service)
	default:
		return Key(string(r.Kind) + "/" + string(r.Route))
	}
}

// CapKey returns the key of the cap of member in service.
func CapKey(member ident.MemberID, service ident.ServiceID) Key {
	return Key("cap/" + string(member) + "/" + string(service))
}

// Hash returns a hash of all fields. Daemons of different releases compare hashes, so the
// input of the hash must never change.
func (r Row) Hash() uint64 {
	var buf [hashBufferBytes]byte
	// Quoting makes the boundaries between fields unambiguous.
	b := strconv.AppendQuote(buf[:0], string(r.Kind))
	b = strconv.AppendQuote(b, string(r.Member))
	b = strconv.AppendQuote(b, string(r.Service))
	b = strconv.AppendQuote(b, string(r.Route))
	b = strconv.AppendInt(b, int64(r.Units), 10)
	b = strconv.AppendQuote(b, r.Prefix)
	b = strconv.AppendQuote(b, string(r.Class))
	b = strconv.AppendQuote(b, string(r.Repeat))
	b = strconv.AppendInt(b, int64(r.Timeout), 10)
	return xxhash.Sum64(b)
}

// hashBufferBytes is enough for the hash input of most rows; longer input is allocated on the
// heap.
const hashBufferBytes = 256
