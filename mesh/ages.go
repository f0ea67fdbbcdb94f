package mesh

import "time"

// The store may stop answering the roots while other daemons reach it. What each daemon then waits for counts from
// the last answer that a root got, so the waits do not add up, and the last one ends before Config.InForce. All of
// them are parts of it, in percent, since deployments have different bounds.
const (
	// watchShare is the longest wait of a watch. Each answer of the store confirms the state, so a shorter one means
	// more calls of the roots.
	watchShare = 36
	// confirmShare is the time between two confirmations. Followers are told at once when a watch returns, so it is
	// more than half of watchShare: there is one further confirmation between two watches.
	confirmShare = 20
	// lagShare is the age at which the state of the first parent is taken for old if another parent has changes that
	// it lacks. In normal operation the age stays below watchShare and the latency of the store and the links.
	lagShare = 48
	// relayShare is the age at which a relay that follows the roots reads the store itself. Above watchShare there is
	// 0.5 s for an answer of a slow store (0.2 s), VMs that stop for 0.1 s and links of 20 ms.
	relayShare = 56
	// secondRelayShare is the same for a relay that follows another relay first, which reads the store meanwhile. If
	// all relays read the document at once, those of a region saturate its link to the store.
	secondRelayShare = 66
	// parentShare is the silence after which a parent counts as gone: three confirmations may be late or lost.
	parentShare = 64
	// followerShare is the age at which a follower reads the store. It is longer, so that the relays of its data
	// centre read the store first and confirm their state to it.
	followerShare = 72
	// unavailableShare is the same for a follower whose parents are there, but do not reach the store either. The rest
	// is for the read.
	unavailableShare = 80
)

// inForceShare returns percent of the time within which a configuration must be in force.
func (c Config) inForceShare(percent time.Duration) time.Duration { return c.InForce * percent / 100 }

// confirmInterval returns how often a daemon tells its followers how current its state is.
func (c Config) confirmInterval() time.Duration { return c.inForceShare(confirmShare) }

// followerMaxAge returns the age of the state up to which others may rely on it.
func (c Config) followerMaxAge() time.Duration { return c.inForceShare(followerShare) }

// maxStateAge returns the age of the state at which a daemon reads the store itself. hasParent tells whether a
// followed daemon has sent a notice lately.
func (c Config) maxStateAge(p syncPlan, hasParent bool) time.Duration {
	switch {
	case p.tier == root:
		return 0
	case p.tier == relay && !p.second:
		return c.inForceShare(relayShare)
	case p.tier == relay:
		return c.inForceShare(secondRelayShare)
	case hasParent:
		return c.inForceShare(unavailableShare)
	}
	return c.followerMaxAge()
}
