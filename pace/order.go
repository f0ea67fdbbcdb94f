package pace

import (
	"container/heap"
	"math"
	"time"
)

const (
	// burstTime is the time at the link's rate that may be sent at once, and at least one chunk. It covers late timers,
	// and it bounds the queue in the kernel.
	burstTime = 4 * time.Millisecond
	// lateTime is what may be sent at once instead if bytes waited all the time, that is, if the process was stopped. Processor
	// quotas stop a daemon on a small VM for up to 100 ms many times a second; the link would then be idle for most of the stop,
	// and again in the next one. With it, the kernel has a queue after a stop, until the rate below that of the link has
	// emptied it.
	lateTime = 50 * time.Millisecond
	// largeShare is the share of the rate that large answers get at least, so that they end in time to be of use while
	// small ones exceed the link.
	largeShare = 0.1
	// PassedBytes is the number of more urgent bytes after which one waiting large chunk goes before small frames.
	PassedBytes = ChunkBytes * (1 - largeShare) / largeShare
	// averageTime is the time over which the rates of control and small bytes and of large ones to other regions are averaged.
	averageTime = time.Second
)

// order decides which waiting bytes may be sent when. It is a token bucket with one queue for each class. Urgent classes
// may overdraw the bucket, by unit for Small and twice that for Control: a chunk that is in the kernel's queue already
// delays them, and waiting for tokens as well would not bring them forward.
type order struct {
	rate   float64 // bytes a second
	unit   float64 // bytes
	late   float64 // bytes
	tokens float64 // up to unit, or late; negative after an overdraft
	at     time.Time
	seq    uint64
	queues [Classes]ticketQueue
	// passed counts the bytes of other classes that went before waiting large ones since the last of these.
	passed float64
	urgent average // bytes of Control and Small
	far    average // bytes of Large to other regions
}

// average is a decaying sum of bytes.
type average struct {
	sum float64
	at  time.Time
}

func (a *average) add(n float64, now time.Time) {
	a.sum = max(0, a.sum*a.decay(now)+n)
	a.at = now
}

func (a *average) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(a.at).Seconds()) / averageTime.Seconds())
}

// rate returns the average rate in bytes a second.
func (a *average) rate(now time.Time) float64 { return a.sum * a.decay(now) / averageTime.Seconds() }

func newOrder(rate float64, now time.Time) *order {
	unit := max(ChunkBytes, rate*burstTime.Seconds())
	return &order{rate: rate, unit: unit, late: max(unit, rate*lateTime.Seconds()), tokens: unit, at: now}
}

// refill adds the tokens since the last call. A clock that went back adds none.
func (o *order) refill(now time.Time) {
	if d := now.Sub(o.at); d > 0 {
		o.tokens = min(o.most(), o.tokens+d.Seconds()*o.rate)
	}
	o.at = now
}

// most returns the bytes that the bucket holds.
func (o *order) most() float64 {
	for _, q := range o.queues {
		if len(q) > 0 {
			return o.late
		}
	}
	return o.unit
}

// floor returns the tokens from which a class may send.
func (o *order) floor(c Class) float64 {
	switch c {
	case Control:
		return -2 * o.unit
	case Small:
		return -o.unit
	default:
		return 0
	}
}

// add queues t.
func (o *order) add(t *Ticket, now time.Time) {
	o.seq++
	t.seq, t.since = o.seq, now
	heap.Push(&o.queues[t.ask.Class], t)
}

// remove removes a waiting ticket, and reports whether it was waiting.
func (o *order) remove(t *Ticket) bool {
	if t.index < 0 {
		return false
	}
	heap.Remove(&o.queues[t.ask.Class], t.index)
	return true
}

// head returns the ticket that goes next and the tokens that it needs; nil: none waits.
func (o *order) head() (*Ticket, float64) {
	large := o.queues[Large]
	switch {
	case len(o.queues[Control]) > 0:
		return o.queues[Control][0], o.floor(Control)
	case len(large) > 0 && o.passed >= PassedBytes:
		return large[0], o.floor(Small)
	case len(o.queues[Small]) > 0:
		return o.queues[Small][0], o.floor(Small)
	case len(large) > 0:
		return large[0], o.floor(Large)
	}
	return nil, 0
}

// next removes and returns the ticket that may send now; nil: none may.
func (o *order) next(now time.Time) *Ticket {
	o.refill(now)
	t, floor := o.head()
	if t == nil || o.tokens < floor {
		return nil
	}
	o.remove(t)
	o.spend(&t.ask, float64(t.ask.Bytes), now)
	return t
}

// spend takes n bytes of a from the bucket; negative: they were not sent.
func (o *order) spend(a *Ask, n float64, now time.Time) {
	o.tokens = min(o.late, o.tokens-n)
	if a.Class == Large {
		if n > 0 {
			o.passed = 0
		}
		if a.Far {
			o.far.add(n, now)
		}
		return
	}
	if len(o.queues[Large]) > 0 {
		o.passed += n
	}
	o.urgent.add(n, now)
}

// largeRate returns the rate in bytes a second that the other classes leave to large answers.
func (o *order) largeRate(now time.Time) float64 {
	return max(largeShare*o.rate, o.rate-o.urgent.rate(now))
}

// nearRate returns what of largeRate large answers to other regions leave, whose own queue is that of their path.
func (o *order) nearRate(now time.Time) float64 {
	return max(largeShare*o.rate, o.largeRate(now)-o.far.rate(now))
}

// wait returns the time until the next ticket may send; ok is false if none waits.
func (o *order) wait(now time.Time) (d time.Duration, ok bool) {
	o.refill(now)
	t, floor := o.head()
	if t == nil {
		return 0, false
	}
	missing := max(0, floor-o.tokens)
	return time.Duration(math.Ceil(missing / o.rate * float64(time.Second))), true
}
