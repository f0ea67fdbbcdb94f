package admin

import (
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Explanation describes how a member's call to a path would be routed and limited.
type Explanation struct {
	Version    ident.Version
	Member     ident.MemberID
	Path       string
	Method     string
	Refused    string // refusal reason, or empty if the call would be routed
	Route      *agree.Row
	Idempotent bool
	Cap        ident.Units
	Servers    []ServerChoice
}

// ServerChoice is a backend server to which the call could be routed.
type ServerChoice struct {
	Addr     ident.Addr
	Place    ident.Place
	State    string
	Distance int // 0: same data centre, 1: same region, 2: other region
}
