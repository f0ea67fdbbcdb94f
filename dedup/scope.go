package dedup

import (
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Scope qualifies a key by service and member, so that equal keys of different members or
// services do not collide.
type Scope struct {
	Service ident.ServiceID
	Member  ident.MemberID
	Key     Key
}

// homeKey returns the string that is hashed to choose the home of a free key.
func (s Scope) homeKey() string {
	return string(s.Service) + "\x00" + string(s.Member) + "\x00" + string(s.Key)
}
