package rate

import "time"

// The times of grants and attachments. A holder counts at one keeper of a shard at a time: it goes to another one only
// when the first cannot count it any more and what that granted has expired.
const (
	// grantLife is how long tokens may be spent, from when the holder asked for them.
	grantLife = 800 * time.Millisecond
	// attachLife is how long a keeper counts a holder, from when the holder sent its message at the latest.
	attachLife = 1400 * time.Millisecond
	// moveDelay is how long a holder that lost its keeper waits, from its last message to it, before it attaches to
	// another one. It has 100 ms for the interval at which keepers check attachments.
	moveDelay = attachLife + grantLife + 100*time.Millisecond
	// renewInterval is how often a holder renews an attachment. Two messages may be late or lost within attachLife.
	renewInterval = 600 * time.Millisecond
	// visitInterval is how often another holder asks its keeper for an answer, to notice that it is gone.
	visitInterval = 3 * time.Second
	// resendInterval is how soon a holder repeats a message without an answer.
	resendInterval = 200 * time.Millisecond
	// lostAfter is the silence after which a keeper counts as lost: ten round trips between regions, or several stops by a
	// processor quota.
	lostAfter = 450 * time.Millisecond
	// avoidTime is how long a keeper that was lost, or that is not ready, is passed over. It is longer than moveDelay, so
	// that a holder has attached to another one before it tries again.
	avoidTime = 3 * time.Second
	// moveAfter is how long another daemon must have ranked first before a holder leaves a keeper that works. Up to twice
	// that is added at random, so that a keeper loses its holders gradually and the next one gains them at that pace.
	moveAfter = time.Second
	// leaveFactor divides that delay if the keeper is stopping.
	leaveFactor = 8
	// maxSettleTime is how long a spent token is not reported at most, so that most calls that are refused later can return it.
	maxSettleTime = 250 * time.Millisecond
	// denyTime is how long a holder refuses the calls of an account at least after the keeper had no token for it.
	denyTime = 100 * time.Millisecond
	// maxDenyTime limits the same, since tokens may be handed back at any time.
	maxDenyTime = time.Second
	// MaxWait is how long a call waits for an answer of the keeper: three round trips between regions.
	MaxWait = 150 * time.Millisecond
	// unavailableRetry is the least time after which a call that found no keeper is to be repeated.
	unavailableRetry = 300 * time.Millisecond
	// poolIdle and bucketIdle are how long an account that is not used is remembered.
	poolIdle   = 5 * time.Second
	bucketIdle = 20 * time.Second
)
