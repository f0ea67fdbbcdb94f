package pace

import (
	"container/heap"
	"sync"
	"time"
)

// Path limits the bytes of large answers in flight over all connections to one region, between which the rate is not known,
// and orders the answers. Its methods are safe for concurrent use.
type Path struct {
	mu      sync.Mutex
	window  *window
	waiting ticketQueue
	seq     uint64
	timer   *time.Timer
	queued  backlog
	lastID  uint64
	flying  map[uint64]flight
	sent    []uint64 // ids of flying in order, with some that have arrived
}

// flight is what was sent at once and has not arrived.
type flight struct {
	bytes int
	at    time.Time
}

// flightTimeout is the time after which bytes no longer count as in flight. It is many round trips: the other daemon has
// stopped, and must not keep those of its region from sending.
const flightTimeout = time.Second

// pathCheck is the longest time after which a waiting writer is woken, whatever it waits for.
const pathCheck = 100 * time.Millisecond

// NewPath returns a Path on which nothing is in flight.
func NewPath() *Path {
	p := &Path{window: newWindow(time.Now()), queued: backlog{}, flying: map[uint64]flight{}}
	p.timer = time.AfterFunc(time.Hour, p.wake)
	p.timer.Stop()
	return p
}

// NewPathTicket returns a Ticket for a Path, whose writer is woken by wake in another goroutine.
func NewPathTicket(wake func()) *Ticket { return &Ticket{wake: wake, index: -1} }

// Chunk returns the size of chunks on the path at present.
func (p *Path) Chunk() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.window.chunk()
}

// Take puts n bytes in flight for the writer of t, and reports whether that is possible now. The ids grow.
func (p *Path) Take(t *Ticket, n int) (id uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if d, ok := p.window.wait(n, now); !ok || d > 0 {
		return 0, false
	}
	t.turn = false
	p.window.sent(n, now)
	p.schedule(now)
	return p.fly(n, now), true
}

// Probe returns an id for something without bytes, which shows the length of the path when it arrives.
func (p *Path) Probe() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fly(0, time.Now())
}

func (p *Path) fly(n int, now time.Time) uint64 {
	p.expire(now)
	p.lastID++
	p.flying[p.lastID] = flight{n, now}
	p.sent = append(p.sent, p.lastID)
	return p.lastID
}

// expire removes what has been in flight for too long. The caller holds p.mu.
func (p *Path) expire(now time.Time) {
	for len(p.sent) > 0 {
		f, ok := p.flying[p.sent[0]]
		if ok && now.Sub(f.at) < flightTimeout {
			return
		}
		p.remove(p.sent[0])
		p.sent = p.sent[1:]
	}
}

// remove removes what is in flight as id, without knowing whether it arrived. The caller holds p.mu.
func (p *Path) remove(id uint64) {
	p.window.lost(p.flying[id].bytes)
	delete(p.flying, id)
}

// Free reports whether bytes can be put in flight now, and no writer waits that goes first. If not, that of t is woken
// later, once. If it then has nothing to send, it calls Pass.
func (p *Path) Free(t *Ticket, a Ask) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expire(now)
	t.ask = a
	if t.index >= 0 {
		heap.Fix(&p.waiting, t.index)
		return false
	}
	first := t.turn || len(p.waiting) == 0 || a.Before(&p.waiting[0].ask)
	if d, ok := p.window.wait(a.Bytes, now); ok && d == 0 && first {
		return true
	}
	t.turn = false
	p.seq++
	t.seq = p.seq
	heap.Push(&p.waiting, t)
	p.schedule(now)
	return false
}

// Pass has the next writer woken instead of that of t.
func (p *Path) Pass(t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.turn = false
	p.schedule(time.Now())
}

// Arrived records that what is in flight as id has arrived.
func (p *Path) Arrived(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if f, ok := p.flying[id]; ok {
		delete(p.flying, id)
		p.window.arrived(f.bytes, now.Sub(f.at), now)
	}
	p.schedule(now)
}

// Lost records that a connection has ended, the writer of which had t, and what was in flight on it.
func (p *Path) Lost(t *Ticket, ids []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.index >= 0 {
		heap.Remove(&p.waiting, t.index)
	}
	for _, id := range ids {
		p.remove(id)
	}
	p.schedule(time.Now())
}

// schedule sets when the next writer is woken. The caller holds p.mu.
func (p *Path) schedule(now time.Time) {
	if len(p.waiting) == 0 {
		return
	}
	p.expire(now)
	d, ok := p.window.wait(p.waiting[0].ask.Bytes, now)
	if !ok || d > pathCheck {
		d = pathCheck
	}
	p.timer.Reset(d)
}

// wake wakes the writer that goes first.
func (p *Path) wake() {
	p.mu.Lock()
	if len(p.waiting) == 0 {
		p.mu.Unlock()
		return
	}
	t, ok := heap.Pop(&p.waiting).(*Ticket)
	t.turn = ok
	p.timer.Reset(pathCheck) // unless the woken writer calls Take or Pass before
	p.mu.Unlock()
	if ok {
		t.wake()
	}
}

// Queue records that n more bytes of large answers of a rank wait for the path, or are expected to; negative: fewer.
func (p *Path) Queue(rank, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queued.add(rank, n)
}

// Backlog returns the bytes of large answers that wait, or are expected to, and go before another one of the rank.
func (p *Path) Backlog(rank int) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queued.until(rank)
}

// Rate returns the rate in bytes a second that this daemon has on the path at present; infinite while nothing limits it.
func (p *Path) Rate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.window.rate()
}
