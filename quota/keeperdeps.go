package quota

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// KeeperDeps holds the dependencies of a Keeper.
type KeeperDeps struct {
	Service ident.ServiceID
	Addr    ident.Addr // wire address of this daemon
	Clock   Clock
	Driver  Driver
	Call    Call

	// Cap returns the cap of a member for the service in the active agreement.
	Cap func(member ident.MemberID) ident.Units
	// LongTimeout returns the longest timeout of the long routes of the service.
	LongTimeout func() time.Duration
	// Candidate reports whether this daemon should try to become keeper; see Holder.WithoutKeeper.
	// While it returns false the keeper does not call the store.
	Candidate func() bool
	// List returns the holder list in effect at this daemon; see Holder.List.
	List func() List
	// Rank returns the position of this daemon among the live daemons of the service. Later
	// ranks try less often to become keeper.
	Rank func() int
	// Rand returns a number in [0, 1) for jitter.
	Rand func() float64

	Log   *event.Log
	Stats *stats.Set
}
