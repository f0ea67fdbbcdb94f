package fanout

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// wireRow is the wire format of agree.Row. It is an array, since field names would take most of
// the bytes of a change of one row.
type wireRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Kind     agree.Kind
	Member   ident.MemberID
	Service  ident.ServiceID
	Route    ident.RouteID
	Units    ident.Units
	Prefix   string
	Class    agree.Class
	Repeat   agree.Repeat
	Timeout  time.Duration
}

func toWireRow(r agree.Row) wireRow {
	return wireRow{
		Kind: r.Kind, Member: r.Member, Service: r.Service, Route: r.Route, Units: r.Units,
		Prefix: r.Prefix, Class: r.Class, Repeat: r.Repeat, Timeout: r.Timeout,
	}
}

func fromWireRow(r wireRow) agree.Row {
	return agree.Row{
		Kind: r.Kind, Member: r.Member, Service: r.Service, Route: r.Route, Units: r.Units,
		Prefix: r.Prefix, Class: r.Class, Repeat: r.Repeat, Timeout: r.Timeout,
	}
}

// rowSet is a change, or a full state if Delete is empty.
type rowSet struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Put      []wireRow
	Delete   []agree.Key
}
