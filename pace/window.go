package pace

import (
	"math"
	"time"
)

const (
	// queueTarget is the time that bytes may wait on a path beyond its shortest round trip. Below it a window grows, above it
	// shrinks. It is a fifth of the shortest deadline of calls between regions and longer than the usual jitter.
	queueTarget = 25 * time.Millisecond
	// minWindow and maxWindow bound a window, in bytes. The smallest one is an eighth of the smallest chunk in a round trip: with
	// 2 KB, 39 daemons shared a path of 10 Mbit/s only with a longer queue. The largest one is more than 60 Mbit/s carry in a round trip of 45 ms.
	minWindow, maxWindow = minChunk / 8, 512 << 10
	// firstWindow is the window of a path on which nothing has been sent: all daemons may begin at once. It doubles in each
	// round trip until the path has a queue, so that 90 KB take four.
	firstWindow = 8 << 10
	// windowGain limits the growth in a round trip as a share of the window, and to one chunk, once the path has had a queue.
	windowGain = 0.25
	// windowIdle is the time without bytes after which a window is no evidence of a free path.
	windowIdle = 3 * time.Second
	// minChunk is the size of chunks on a path on which the window is small. Of several daemons, each has a chunk in flight.
	minChunk = 4 << 10
	// minTripsAge is how long the shortest round trip is kept. A path that becomes longer for good then counts as free again.
	minTripsAge = 10 * time.Minute
	// recentTrips is the number of last round trips of which the shortest one counts: a processor quota may have stopped the
	// other daemon during the rest.
	recentTrips = 3
	// usualTrip is assumed before the first round trip.
	usualTrip = 50 * time.Millisecond
)

// window decides how many bytes of large answers may be in flight on a path whose rate is not known. It follows the delay
// above the shortest round trip, which is the queue of the path.
type window struct {
	bytes    float64
	inflight int
	next     time.Time // not before, if the window is less than a chunk
	last     time.Time // when bytes were sent
	changed  time.Time // of the window
	starting bool      // no queue has been seen since the window was firstWindow

	shortest, shortestBefore time.Duration // in the present and the previous span of minTripsAge
	span                     time.Time     // start of the present one
	recent                   [recentTrips]time.Duration
	trips                    int
}

func newWindow(now time.Time) *window {
	return &window{bytes: firstWindow, starting: true, span: now}
}

// rate returns the rate in bytes a second that the window allows; infinite while the path has had no queue.
func (w *window) rate() float64 {
	if w.starting {
		return math.Inf(1)
	}
	return w.bytes / max(w.trip(), time.Millisecond).Seconds()
}

// chunk returns the size of chunks.
func (w *window) chunk() int { return min(ChunkBytes, max(minChunk, int(w.bytes)/2)) }

// trip returns the last round trip, without a stop of the other daemon.
func (w *window) trip() time.Duration {
	if w.trips == 0 {
		return usualTrip
	}
	d := w.recent[0]
	for _, r := range w.recent[1:min(w.trips, recentTrips)] {
		d = min(d, r)
	}
	return d
}

// base returns the shortest round trip.
func (w *window) base() time.Duration {
	if w.shortestBefore > 0 {
		return min(w.shortest, w.shortestBefore)
	}
	return w.shortest
}

// wait returns the time until n bytes may be sent; ok is false if bytes have to arrive first.
func (w *window) wait(n int, now time.Time) (d time.Duration, ok bool) {
	if w.inflight > 0 && float64(w.inflight+n) > w.bytes {
		return 0, false
	}
	return max(0, w.next.Sub(now)), true
}

// sent records that n bytes are in flight.
func (w *window) sent(n int, now time.Time) {
	if now.Sub(w.last) > windowIdle && w.inflight == 0 {
		w.bytes, w.starting = min(w.bytes, firstWindow), true
	}
	w.inflight += n
	w.last = now
	if f := float64(n) / w.bytes; f > 1 {
		w.next = now.Add(time.Duration(f * float64(w.trip())))
	}
}

// lost records that n bytes are no longer in flight, without knowing whether they arrived.
func (w *window) lost(n int) { w.inflight -= n }

// arrived records that n bytes have arrived, and their round trip. Without bytes it only shows the length of the path.
func (w *window) arrived(n int, trip time.Duration, now time.Time) {
	w.inflight -= n
	if now.Sub(w.span) > minTripsAge {
		w.shortestBefore, w.shortest, w.span = w.shortest, 0, now
	}
	if w.shortest == 0 || trip < w.shortest {
		w.shortest = trip
	}
	if n == 0 {
		return
	}
	w.recent[w.trips%recentTrips] = trip
	w.trips++
	w.starting = w.starting && trip-w.base() < queueTarget/2
	if now.Sub(w.changed) < w.trip() {
		return // what was sent since the last change has not arrived
	}
	w.changed = now
	over := float64(w.trip()-w.base()-queueTarget) / float64(queueTarget)
	switch {
	case w.starting:
		w.bytes *= 2
	case over < 0:
		w.bytes += min(ChunkBytes, windowGain*w.bytes) * min(1, -over)
	default:
		w.bytes *= max(0.5, 1-over/2)
	}
	w.bytes = min(maxWindow, max(minWindow, w.bytes))
}
