package quota

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// peer is the keeper's state of a holder. Times are readings of the keeper's monotonic clock.
type peer struct {
	addr         ident.Addr
	incarnation  ident.Incarnation
	seq          uint64
	lastExchange time.Duration // time of the last exchange; initially that of the takeover
	ackedVersion uint64
	freeSent     bool              // a Free was queued since the last Sync
	answered     bool              // a Sync or Seal was answered in this epoch
	cleanLeave   bool              // left with no calls running, and no later process is known
	cleanStart   bool              // the previous process left cleanly, or there was none
	joined       bool              // the current process is the first
	predecessor  ident.Incarnation // previous process if it left cleanly
	removing     bool              // asked to be removed from the list
	retired      bool              // an operator removed it because its VM is gone, or its removal is being written

	// Until these times units granted by an earlier keeper may be in use: any floating units,
	// and the pinnable ones.
	floatingFreeAt time.Duration
	pinnableFreeAt time.Duration

	number      uint64           // identifies the current process in its Syncs; zero if none was assigned
	memberNames []ident.MemberID // member names by their number in Syncs, starting at 1

	members map[ident.MemberID]struct{} // members with an allocation in their pool
	pins    map[uint64]ident.MemberID   // member of each pin of the current process
}

// recordAge sets the times until calls of an earlier process have ended, when the peer first
// reports in this epoch.
func (p *peer) recordAge(now, age, longest time.Duration) {
	p.answered = true
	p.floatingFreeAt, p.pinnableFreeAt = 0, 0
	if age > 0 {
		p.floatingFreeAt = now + withClockTolerance(max(0, MaxShortTimeout+StopGrace-age))
		p.pinnableFreeAt = now + withClockTolerance(max(0, maxCallTime(longest)+StopGrace-age))
	}
}
