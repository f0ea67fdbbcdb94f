package rate

import (
	"math"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// bucket holds the tokens of an account at a keeper. Those in it and those parked at holders, which may still be spent,
// are together at most the capacity. So what is spent in a window is at most the capacity and the refill.
type bucket struct {
	limit    Limit
	bounds   Bounds
	level    float64
	parked   int
	refilled float64 // integral of the share up to which the bucket has been refilled
	lots     map[lotKey]int
	order    []parkedLot // in order of expiry
	late     float64     // returned late and accepted, decreasing over a window
	lateAt   time.Duration
	usedAt   time.Duration
}

// lotKey identifies the tokens granted in a reply to one message of a holder.
type lotKey struct {
	holder ident.Addr
	life   uint32
	seq    uint32
}

// parkedLot is when the tokens of a lot count as spent, on the monotonic clock.
type parkedLot struct {
	key  lotKey
	ends time.Duration
}

// newBucket returns a bucket that was empty at the integral since.
func newBucket(l Limit, bounds Bounds, since float64) *bucket {
	return &bucket{limit: l, bounds: bounds, refilled: since, lots: map[lotKey]int{}}
}

// refill adds what has been due since the last call, and ends lots.
func (b *bucket) refill(s *keeperShard, now time.Duration) {
	b.expire(now)
	i := s.integralAt(now)
	b.level += b.limit.Rate * (i - b.refilled)
	b.refilled = i
	b.clip(s.share)
}

// clip limits the level so that level and parked tokens are within the share of the capacity.
func (b *bucket) clip(share float64) {
	b.level = min(b.level, max(0, b.bounds.capacity(b.limit)*share-float64(b.parked)))
}

// expire counts the tokens of old lots as spent. A holder may have been unable to report that it spent them.
func (b *bucket) expire(now time.Duration) {
	n := 0
	for n < len(b.order) && now >= b.order[n].ends {
		key := b.order[n].key
		b.parked -= b.lots[key]
		delete(b.lots, key)
		n++
	}
	b.order = append(b.order[:0], b.order[n:]...)
}

// report applies what became of the tokens of a lot. Those handed back go to the bucket.
func (b *bucket) report(key lotKey, r LotReport) {
	n := b.lots[key]
	back := min(max(0, r.Back), n)
	spent := min(max(0, r.Spent), n-back)
	b.parked -= back + spent
	b.lots[key] = n - back - spent
	if b.lots[key] <= 0 {
		delete(b.lots, key)
	}
	b.level += float64(back)
}

// returnLate adds tokens of calls that did not run, which had been reported as spent. What they had been replaced by may
// have been spent since, so that they are limited.
func (b *bucket) returnLate(n int, share float64, now time.Duration) {
	if n <= 0 {
		return
	}
	limit := lateShare * b.bounds.headroom(b.limit) * share / 2
	b.late = max(0, b.late-limit*(now-b.lateAt).Seconds()/b.bounds.Window.Seconds())
	b.lateAt = now
	add := min(float64(min(n, maxWanted)), max(0, limit-b.late))
	b.late += add
	b.level += add
	b.clip(share)
}

// grant takes need tokens, and up to spare further ones if the bucket is at least half full after that. wait is the
// time until there are tokens for what is missing of need; zero: nothing is.
func (b *bucket) grant(key lotKey, need, spare int, share float64, now time.Duration) (granted int, wait time.Duration) {
	granted = min(need, int(b.level))
	if granted == need {
		reserve := b.bounds.capacity(b.limit) * share * spareReserve
		granted += max(0, min(spare, int(b.level-reserve)-granted))
	}
	if granted > 0 {
		b.level -= float64(granted)
		b.parked += granted
		b.lots[key] = granted
		b.order = append(b.order, parkedLot{key, now + grantLife})
	}
	if granted >= need {
		return granted, 0
	}
	wait = maxDenyTime
	if r := b.limit.Rate * share; r > 0 {
		wait = min(wait, time.Duration(math.Ceil((1-min(1, b.level))/r*1000))*time.Millisecond)
	}
	return granted, max(denyTime, wait)
}

// spareReserve is the part of the capacity that is kept for calls that wait.
const spareReserve = 0.3
