package route

import (
	"math"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Report is the load of a backend server as its daemon reports it with an answer.
type Report struct {
	Running  int
	Waiting  int
	Slots    int
	Mean     time.Duration // service time
	Drained  time.Duration // expected time until a slot is free and the queue is empty
	Slowness int           // current duration of work in percent of the usual one; zero if unknown
	// LinkDelay is how long a large answer waits for the link of the VM; zero: not at all, or not known.
	LinkDelay time.Duration `msgpack:",omitempty"`
	// LinkRate is the rate of large answers over that link, in bytes a second; zero: not known.
	LinkRate int64 `msgpack:",omitempty"`
}

// Requirements describes what a request requires of a server.
type Requirements struct {
	Remaining time.Duration // time until the goal of the request
	Due       time.Time     // requests of its priority that are due earlier go first
	Weight    float64       // expected work as a multiple of the mean of the service
	Priority  int           // zero is the highest
	MaxWait   time.Duration // the longest acceptable wait for a slot; zero if one must be free at once
	RetryBusy bool          // also consider servers that last reported a longer wait, which may have changed since
	Bytes     int64         // expected size of the answer; zero: small
	Self      ident.Addr    // the daemon of the caller, whose own server needs no link for the answer
	// Transfer is the cost of each distance as a share of the value of the answer; nil: transferCosts. Servers at a distance
	// with an infinite cost are not chosen.
	Transfer *[3]float64
}

func (n *Requirements) transferCost(d int) float64 {
	if n.Transfer == nil {
		return transferCosts[d]
	}
	return n.Transfer[d]
}

// Candidate is a backend server that may take a request.
type Candidate struct {
	Addr  ident.Addr // address of the daemon beside the server
	Place ident.Place
	Slots int
	Cold  bool // started recently
}

// Result describes how an attempt ended.
type Result struct {
	Report      Report
	Known       bool // whether Report is set
	Took        time.Duration
	Failed      bool // the backend server failed the request, or the answer was lost
	Unreachable bool // the daemon or the backend server cannot be reached
	// Rejected is set if the server rejected the request because it would have had to wait for Turn.
	Rejected     *Requirements
	RejectedWait time.Duration
}

const (
	// reportHalfLife is the age at which the calls of other daemons in a report count half. Calls take
	// about 100 ms.
	reportHalfLife = 250 * time.Millisecond
	// maxSlownessAge is the age at which a reported slowness is ignored. It changes many times a second.
	maxSlownessAge = 300 * time.Millisecond
	// failureHalfLife is the time after which the failure rate has halved if no further attempt fails, so that
	// a server that failed is tried again.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of a new result in the failure rate: about the last 10 results count.
	failureWeight = 0.1
	// coldFactor multiplies the expected time at a server that has just started and has sent no report.
	coldFactor = 2
	// minPause and maxPause bound the time for which an unreachable server is skipped.
	minPause = 200 * time.Millisecond
	maxPause = 1600 * time.Millisecond
	// fullLoadSlowdown is the share of the service time that is added for a server without a free slot. Some
	// servers slow down when they are nearly full.
	fullLoadSlowdown = 0.2
)

// roundTrips are the network round trips to the same data centre, to another one of the region and to another
// region.
var roundTrips = [3]time.Duration{time.Millisecond, 2 * time.Millisecond, 45 * time.Millisecond}

// RoundTrip returns the usual network round trip between two places.
func RoundTrip(a, b ident.Place) time.Duration { return roundTrips[a.Distance(b)] }

// transferCosts are the costs of sending a request to the same data centre, to another one of the region and
// to another region, as shares of the value of its answer. The links between regions have little bandwidth and
// all links are paid by volume, so a request stays near while it can be answered in time there.
var transferCosts = [3]float64{0, 0.2, 0.35}

const (
	// latePenalty is the cost of an answer after its goal, as a share of its value.
	latePenalty = 0.7
	// lateSpread is the uncertainty of the expected time to an answer, as a share of the time to the goal.
	lateSpread = 0.15
	// lateMidpoint is the expected time, as a share of the time to the goal, at which half of the answers are
	// late. It is below one because durations of work have long tails.
	lateMidpoint = 0.7
	// latencyWeight is the cost of an answer that takes until the goal compared with an immediate one. It decides
	// between servers that are equal otherwise. The calling server also holds a slot for as long.
	latencyWeight = 0.1
)

// serverState holds the observations of one server.
type serverState struct {
	inflight    int // running attempts of this daemon
	report      Report
	known       bool
	reported    time.Time
	others      float64 // attempts of other daemons at the time of the report
	failures    float64 // failure rate at failedAt
	failedAt    time.Time
	pause       time.Duration
	pausedUntil time.Time // the server is skipped until then
	freeAt      time.Time // earliest time at which a slot is free
	rejections  map[int]rejection
}

// rejection records the last rejected request of a priority: when it would have got a slot, and when it was due.
type rejection struct {
	slotAt, due time.Time
}

// LoadTable chooses backend servers by the load that is reported with their answers and by its own running attempts.
// Its methods are safe for concurrent use.
type LoadTable struct {
	place  ident.Place
	now    func() time.Time
	random func() float64

	mu      sync.Mutex
	servers map[ident.Addr]*serverState
}

// NewLoadTable returns a LoadTable for a daemon at place. random returns numbers in [0, 1).
func NewLoadTable(place ident.Place, now func() time.Time, random func() float64) *LoadTable {
	if now == nil {
		now = time.Now
	}
	return &LoadTable{place: place, now: now, random: random, servers: map[ident.Addr]*serverState{}}
}

// Pick chooses among the candidates and counts a running attempt there until End is called. It skips servers that
// are paused, and those known to have no slot within n.MaxWait: a queue takes at least the reported time.
// ok is false if no server is left; wait is then the shortest known wait for a slot, or zero.
func (b *LoadTable) Pick(list []Candidate, n Requirements) (c Candidate, wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	best, lowest := -1, 0.0
	for i := range list {
		s := b.state(list[i].Addr)
		if now.Before(s.pausedUntil) || math.IsInf(n.transferCost(b.place.Distance(list[i].Place)), 1) {
			continue
		}
		if w := s.wait(&n, now); w > n.MaxWait && !n.RetryBusy {
			if wait == 0 || w < wait {
				wait = w
			}
			continue
		}
		// The random part keeps daemons with the same reports from all choosing the same server.
		v := b.cost(s, &list[i], &n, now, s.linkTime(list[i].Addr, &n, now)) + 0.02*b.random()
		if best < 0 || v < lowest {
			best, lowest = i, v
		}
	}
	if best < 0 {
		return Candidate{}, wait, false
	}
	b.state(list[best].Addr).inflight++
	return list[best], 0, true
}

// wait returns the shortest time that a request waits for a slot, according to the last report of the server.
func (s *serverState) wait(n *Requirements, now time.Time) time.Duration {
	if n.MaxWait == 0 {
		return max(0, s.freeAt.Sub(now))
	}
	w := time.Duration(0)
	for p, t := range s.rejections {
		if p < n.Priority || p == n.Priority && !n.Due.Before(t.due) {
			w = max(w, t.slotAt.Sub(now))
		}
	}
	return w
}

// cost returns the expected cost of sending a request to a server, as a share of the value of its answer. link is the time
// that the answer takes for the link of the server's VM.
func (b *LoadTable) cost(s *serverState, c *Candidate, n *Requirements, now time.Time, link time.Duration) float64 {
	d := b.place.Distance(c.Place)
	took := (s.expect(c, n.Weight, now) + roundTrips[d] + link).Seconds()
	goal := max(n.Remaining.Seconds(), 0.02)
	late := 1 / (1 + math.Exp(-(took/goal-lateMidpoint)/lateSpread))
	return latePenalty*late + latencyWeight*min(2, took/goal) + n.transferCost(d) + s.failureRate(now)
}

// expect returns the expected time that a request spends at a server.
func (s *serverState) expect(c *Candidate, weight float64, now time.Time) time.Duration {
	mean := s.mean()
	switch {
	case s.known && s.report.Slowness > 0 && now.Sub(s.reported) < maxSlownessAge:
		mean = mean * time.Duration(s.report.Slowness) / 100
	case c.Cold && !s.known:
		mean *= coldFactor
	}
	slots := float64(max(1, c.Slots))
	running := float64(s.inflight) + s.decayedOthers(now)
	v := weight * (1 + fullLoadSlowdown*min(1, running/slots)) * float64(mean)
	if over := running + 1 - slots; over > 0 {
		v += over / slots * float64(mean)
	}
	return time.Duration(v)
}

func (s *serverState) mean() time.Duration {
	if s.known && s.report.Mean > 0 {
		return s.report.Mean
	}
	return 50 * time.Millisecond
}

// decayedOthers returns the number of attempts of other daemons that may still run.
func (s *serverState) decayedOthers(now time.Time) float64 {
	if !s.known {
		return 0
	}
	return s.others / (1 + float64(now.Sub(s.reported))/float64(reportHalfLife))
}

func (s *serverState) failureRate(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures / (1 + float64(now.Sub(s.failedAt))/float64(failureHalfLife))
}

// End records the result of an attempt at addr.
func (b *LoadTable) End(addr ident.Addr, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	s := b.state(addr)
	s.inflight--
	if r.Known {
		s.report, s.known, s.reported = r.Report, true, now
		s.others = max(0, float64(r.Report.Running+r.Report.Waiting-s.inflight))
		s.freeAt = now.Add(r.Report.Drained)
	}
	if r.Rejected != nil {
		if s.rejections == nil {
			s.rejections = map[int]rejection{}
		}
		s.rejections[r.Rejected.Priority] = rejection{slotAt: now.Add(r.RejectedWait), due: r.Rejected.Due}
	}
	if r.Unreachable {
		b.pause(s, now)
		return
	}
	rate := s.failureRate(now)
	if r.Failed {
		rate += failureWeight * (1 - rate)
	} else if r.Took > 0 {
		rate -= failureWeight * rate
		s.pause = 0
	}
	s.failures, s.failedAt = rate, now
}

// Pause has the server at addr skipped for a while, such as when it has become silent during an attempt.
func (b *LoadTable) Pause(addr ident.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pause(b.state(addr), b.now())
}

// pause skips a server for longer each time. The caller holds b.mu.
func (b *LoadTable) pause(s *serverState, now time.Time) {
	s.pause = min(maxPause, max(minPause, 2*s.pause))
	s.pausedUntil = now.Add(s.pause/2 + time.Duration(b.random()*float64(s.pause)))
}

// ClearPause ends the pause of a server that has proved reachable, such as by a new announcement.
func (b *LoadTable) ClearPause(addr ident.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(addr)
	s.pausedUntil, s.pause = time.Time{}, 0
}

// Reset drops the observations of a server that runs as a new process.
func (b *LoadTable) Reset(addr ident.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(addr)
	*s = serverState{inflight: s.inflight}
}

func (b *LoadTable) state(addr ident.Addr) *serverState {
	s := b.servers[addr]
	if s == nil {
		s = &serverState{}
		b.servers[addr] = s
	}
	return s
}
