package quota

import "time"

const (
	// GrantTTL is how long a floating grant is valid, counted from the holder's request.
	GrantTTL = 3 * time.Second
	// MaxShortTimeout is the longest timeout of short calls. A call with more time left is
	// treated as a long call.
	MaxShortTimeout = 5 * time.Second
	// StopGrace is how long a backend server may take to stop a call after its deadline.
	StopGrace = time.Second
	// BaseLeaseTTL is how long a holder may use its base share after its last confirmed
	// exchange.
	BaseLeaseTTL = 4 * time.Hour
	// KeeperLeaseTTL is the TTL of the keeper's lease in the store.
	KeeperLeaseTTL = 15 * time.Second
	// RenewInterval is the interval at which the keeper renews its lease.
	RenewInterval = 5 * time.Second
	// SyncInterval is the interval between exchanges while demand is met.
	SyncInterval = time.Second
	// IdleSyncInterval is the interval between exchanges of a holder that has nothing to
	// report. At SyncInterval a keeper with 32 idle holders would carry 4 KB/s. It is shorter
	// than GrantTTL, so that one lost exchange does not make the holder a candidate for
	// keeper.
	IdleSyncInterval = 2 * time.Second
	// steadyListTime is how long the list must be unchanged before IdleSyncInterval applies.
	steadyListTime = 30 * time.Second
	// FastSyncInterval is the interval between exchanges while the keeper does not know all
	// unmet demand.
	FastSyncInterval = 100 * time.Millisecond
	// maxShortBurst is the number of exchanges for unmet demand that may follow each other at
	// minSyncGap after a pause.
	maxShortBurst = 4
	// SlowSyncInterval is the interval between exchanges for unmet demand after maxLongBurst
	// of them. With many members the demand of some changes all the time: with 8 members and
	// 250 ms, 32 holders cost their keeper 12.2 KB/s instead of 7.6 KB/s, for the same use of
	// the cap.
	SlowSyncInterval = 400 * time.Millisecond
	// maxLongBurst is the number of exchanges for unmet demand that may follow each other at
	// FastSyncInterval after a pause. They cover the second in which a surge has to be met.
	maxLongBurst = 10
	// minSyncGap is the minimum time between two exchanges for unmet demand. It is half of
	// maxQueueWait, so that a waiting call is reported in one of them and can get a unit from
	// the answer.
	minSyncGap = 10 * time.Millisecond
	// maxIdleChecks is the number of checks, one per FastSyncInterval, that must find floating
	// units unused before they are returned. With one check, units granted after their call
	// had moved on to the next holder were returned before the next call, and only 36 of 40
	// units could be used.
	maxIdleChecks = 4
	// unmetMemory is how long a busy holder reports its unmet demand after the last call of a
	// wave. Refused calls return in waves; a holder that reported between two of them returned
	// its units, and asked for them again in the next one. With 200 ms, 32 holders cost their
	// keeper up to 3.4 KB/s with the demand of one member unmet; with 1 s up to 2.6 KB/s.
	unmetMemory = 2 * SyncInterval
	// unmetIdleLimit is how long after its last call a holder counts as busy. It is less than
	// SlowSyncInterval, so that the second report after the end of a demand returns the units.
	// With 400 ms, demand that moved got them after 1.6 s instead of 0.7 s.
	unmetIdleLimit = 300 * time.Millisecond
	// maxLostVersions is the number of epochs, and of versions of a list, that are left out after a restore of the store,
	// since it may have lost that many. With one election per second it covers almost three hours.
	maxLostVersions = 10_000
	// RecordRetention is how long idempotency records are kept, and therefore how long the loss of a
	// key home matters.
	RecordRetention = 10 * time.Minute

	// callTimeout is the timeout of an exchange. A round trip between regions takes 40 ms.
	callTimeout = 500 * time.Millisecond
	// maxQueueWait is how long a short call over its limit waits for a unit. It covers an
	// exchange with a keeper in the same region. An entry daemon may have to try all holders:
	// with 50 ms, a demand of 125% of the cap used 75% of the cap after 3 s; with 20 ms it
	// used all of it. It does not cover an exchange with a keeper in another region (40 ms),
	// so a unit may be granted after its call has moved on to the next holder.
	maxQueueWait = 20 * time.Millisecond
	// callEndWindow is how long after the end of a call further calls wait for the next one to
	// end. With 50 ms, 250 callers with calls of 100 ms and five attempts had 21.7% of their
	// calls refused; with 100 ms, 7.8%; if calls always waited, 7.2%.
	callEndWindow = 100 * time.Millisecond
	// maxQueuedCalls is the maximum number of waiting calls of one member at one holder.
	maxQueuedCalls = 64
	// maxPinWait is how long a long call waits for the confirmation of its pin. It covers an
	// exchange in progress, the interval of fast exchanges, and the exchange with the pin.
	maxPinWait = 500 * time.Millisecond
	// maxPins is the maximum number of pins that a holder has or asks for.
	maxPins = 1024
)

// withClockTolerance adds 1% to a wait for another process, whose clock may be slower.
func withClockTolerance(d time.Duration) time.Duration { return d + d/100 }

// silentTimeout is how long units granted to a silent holder remain committed: the TTL of the
// grant, the calls admitted at its end, and the grace period.
const silentTimeout = GrantTTL + MaxShortTimeout + StopGrace

// maxCallTime returns the longest time for which a call can be admitted, given the longest
// timeout of long routes. It is at least 2*MaxShortTimeout, so that short calls are accepted
// from a sender whose clock is ahead.
func maxCallTime(longest time.Duration) time.Duration { return max(longest, 2*MaxShortTimeout) }
