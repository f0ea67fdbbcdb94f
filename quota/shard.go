package quota

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// shardCount is the number of shards of a holder. A holder serves one backend server, whose
// calls rarely exceed a few thousand per second, so that few locks suffice.
const shardCount = 8

// shard is a group of a holder's members under one lock.
type shard struct {
	mu         sync.Mutex
	admissions map[ident.MemberID]*admission
	grantedAt  Stamp         // when the last Sync that set the limits was sent
	ttl        time.Duration // of the limits; zero means expired
}

var shardSeed = maphash.MakeSeed()

func shardOf(member ident.MemberID) int {
	return int(maphash.String(shardSeed, string(member)) % shardCount)
}

// admission returns the admission of member. It creates one if there is none.
func (s *shard) admission(member ident.MemberID) *admission {
	a := s.admissions[member]
	if a == nil {
		a = &admission{}
		s.admissions[member] = a
	}
	return a
}

// forEachAdmission calls f for each admission while its shard is locked.
func (h *Holder) forEachAdmission(f func(ident.MemberID, *admission)) {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for member, a := range s.admissions {
			f(member, a)
		}
		s.mu.Unlock()
	}
}
