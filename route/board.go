package route

import (
	"math"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Report is the load of a backend server as its daemon states it in an answer.
type Report struct {
	Running  int
	Waiting  int
	Slots    int
	Mean     time.Duration // service time
	Drained  time.Duration // expected time until a slot is free that no request waits for
	Slowness int           // duration of work at this moment in percent of the usual; zero: not known
}

// Need is what a request asks of a server.
type Need struct {
	Left     time.Duration // to its goal
	Due      time.Time     // requests of its priority that are due earlier go first
	Weight   float64       // its work as a multiple of the mean of the service
	Priority int           // zero is the highest
	Patience time.Duration // the longest wait for a slot; zero: a slot that is free at once
	Ask      bool          // also a server whose last word was a longer wait: it may have changed
}

// Candidate is a backend server that may take a request.
type Candidate struct {
	Addr  ident.Addr // of the daemon beside it
	Place ident.Place
	Slots int
	Cold  bool // started a short time ago
}

// Result is how an attempt ended.
type Result struct {
	Report  Report
	Known   bool // Report is set
	Took    time.Duration
	Failed  bool // the backend server failed the request, or its answer was lost
	Refused bool // the daemon or the backend server cannot be reached
	// Turned is set if the server did not take the request, which would have had to wait for Turn.
	Turned *Need
	Turn   time.Duration
}

const (
	// hintAge is the age at which the calls of other daemons that a report states count half: calls
	// take some 100 ms.
	hintAge = 250 * time.Millisecond
	// slownessAge is how long a stated slowness is used. It changes many times a second.
	slownessAge = 300 * time.Millisecond
	// failureAge is the time in which the rate of failures halves without further ones, so that a
	// server that failed is tried again.
	failureAge = 2 * time.Second
	// failureShare is the weight of one more result in the rate of failures: about the last 10 count.
	failureShare = 0.1
	// coldFactor is the slowness of a server that has just started, before it is known.
	coldFactor = 2
	// leastPause and longestPause bound the time for which an unreachable server is passed over.
	leastPause   = 200 * time.Millisecond
	longestPause = 1600 * time.Millisecond
	// crowding is the part of its service time by which a full server is worse than an idle one. Some
	// servers slow down when they are nearly full.
	crowding = 0.2
)

// roundTrips are the times that a request to the same data centre, to another one of the region and to another
// region spends on its way.
var roundTrips = [3]time.Duration{time.Millisecond, 2 * time.Millisecond, 45 * time.Millisecond}

// transfers are what the bytes of a request between data centres and regions cost, in shares of what its
// answer is worth to the caller. The links between regions are narrow and all are paid by volume, so that a
// request stays near while it can be answered in time there.
var transfers = [3]float64{0, 0.2, 0.35}

const (
	// lateLoss is what an answer after its goal loses, in shares of its worth.
	lateLoss = 0.7
	// lateSpread is the uncertainty of an expected time to an answer as a share of the time to the goal.
	lateSpread = 0.15
	// lateMargin is the expected time, as a share of the time to the goal, at which half of the answers come
	// late: durations of work have long tails.
	lateMargin = 0.7
	// haste is what an answer at the goal is worth less than one at once. It decides between servers that are
	// equal otherwise; time at one server is also a slot held at the one that called.
	haste = 0.1
)

// standing is what is known of one server.
type standing struct {
	mine     int // own attempts that run
	report   Report
	known    bool
	reported time.Time
	others   float64 // attempts of other daemons at the report
	failures float64 // rate at failedAt
	failedAt time.Time
	pause    time.Duration
	until    time.Time // passed over until then
	free     time.Time // no slot is free before
	turns    map[int]turn
}

// turn is when a request of some priority would get a slot that was turned away.
type turn struct {
	at, due time.Time
}

// Board chooses backend servers by the load that comes with their answers and by own attempts that run. Its
// methods are safe for concurrent use.
type Board struct {
	place  ident.Place
	now    func() time.Time
	random func() float64

	mu      sync.Mutex
	servers map[ident.Addr]*standing
}

// NewBoard returns a Board for a daemon at place. random returns numbers in [0, 1).
func NewBoard(place ident.Place, now func() time.Time, random func() float64) *Board {
	if now == nil {
		now = time.Now
	}
	return &Board{place: place, now: now, random: random, servers: map[ident.Addr]*standing{}}
}

// Pick chooses among the candidates and counts an attempt there, which End ends. It passes over servers that are
// paused, and those known to have no slot within the patience: a queue takes at least the time that was stated.
// ok is false if there is no other; wait is then the shortest that is known, or zero.
func (b *Board) Pick(list []Candidate, n Need) (c Candidate, wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	best, lowest := -1, 0.0
	for i := range list {
		s := b.at(list[i].Addr)
		if now.Before(s.until) {
			continue
		}
		if w := s.wait(&n, now); w > n.Patience && !n.Ask {
			if wait == 0 || w < wait {
				wait = w
			}
			continue
		}
		// Daemons that see the same reports would all choose the same server.
		v := b.loss(s, &list[i], n.Left, n.Weight, now) + 0.02*b.random()
		if best < 0 || v < lowest {
			best, lowest = i, v
		}
	}
	if best < 0 {
		return Candidate{}, wait, false
	}
	b.at(list[best].Addr).mine++
	return list[best], 0, true
}

// wait returns the least time for which a request waits for a slot, by what the server last stated.
func (s *standing) wait(n *Need, now time.Time) time.Duration {
	if n.Patience == 0 {
		return max(0, s.free.Sub(now))
	}
	w := time.Duration(0)
	for p, t := range s.turns {
		if p < n.Priority || p == n.Priority && !n.Due.Before(t.due) {
			w = max(w, t.at.Sub(now))
		}
	}
	return w
}

// loss is what a request is expected to lose at a server, in shares of its worth.
func (b *Board) loss(s *standing, c *Candidate, left time.Duration, weight float64, now time.Time) float64 {
	d := b.place.Distance(c.Place)
	took := (s.expect(c, weight, now) + roundTrips[d]).Seconds()
	goal := max(left.Seconds(), 0.02)
	late := 1 / (1 + math.Exp(-(took/goal-lateMargin)/lateSpread))
	return lateLoss*late + haste*min(2, took/goal) + transfers[d] + s.rate(now)
}

// expect returns the expected time that a request spends at a server.
func (s *standing) expect(c *Candidate, weight float64, now time.Time) time.Duration {
	mean := s.mean()
	switch {
	case s.known && s.report.Slowness > 0 && now.Sub(s.reported) < slownessAge:
		mean = mean * time.Duration(s.report.Slowness) / 100
	case c.Cold && !s.known:
		mean *= coldFactor
	}
	slots := float64(max(1, c.Slots))
	running := float64(s.mine) + s.decayed(now)
	v := weight * (1 + crowding*min(1, running/slots)) * float64(mean)
	if over := running + 1 - slots; over > 0 {
		v += over / slots * float64(mean)
	}
	return time.Duration(v)
}

func (s *standing) mean() time.Duration {
	if s.known && s.report.Mean > 0 {
		return s.report.Mean
	}
	return 50 * time.Millisecond
}

// decayed returns the attempts of other daemons that may still run.
func (s *standing) decayed(now time.Time) float64 {
	if !s.known {
		return 0
	}
	return s.others / (1 + float64(now.Sub(s.reported))/float64(hintAge))
}

func (s *standing) rate(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures / (1 + float64(now.Sub(s.failedAt))/float64(failureAge))
}

// End ends an attempt at addr.
func (b *Board) End(addr ident.Addr, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	s := b.at(addr)
	s.mine--
	if r.Known {
		s.report, s.known, s.reported = r.Report, true, now
		s.others = max(0, float64(r.Report.Running+r.Report.Waiting-s.mine))
		s.free = now.Add(r.Report.Drained)
	}
	if r.Turned != nil {
		if s.turns == nil {
			s.turns = map[int]turn{}
		}
		s.turns[r.Turned.Priority] = turn{at: now.Add(r.Turn), due: r.Turned.Due}
	}
	if r.Refused {
		s.pause = min(longestPause, max(leastPause, 2*s.pause))
		s.until = now.Add(s.pause/2 + time.Duration(b.random()*float64(s.pause)))
		return
	}
	rate := s.rate(now)
	if r.Failed {
		rate += failureShare * (1 - rate)
	} else if r.Took > 0 {
		rate -= failureShare * rate
		s.pause = 0
	}
	s.failures, s.failedAt = rate, now
}

// Forget ends the pause of a server that has shown that it is there, such as by a new announcement.
func (b *Board) Forget(addr ident.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.at(addr)
	s.until, s.pause = time.Time{}, 0
}

// Reset drops what was learnt of a server, whose process is another one now.
func (b *Board) Reset(addr ident.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.at(addr)
	*s = standing{mine: s.mine}
}

func (b *Board) at(addr ident.Addr) *standing {
	s := b.servers[addr]
	if s == nil {
		s = &standing{}
		b.servers[addr] = s
	}
	return s
}
