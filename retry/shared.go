package retry

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// SharedBudgetLimits limits the further attempts of all daemons together. Within any Window, a
// service may get Ratio times its requests plus Slack.
type SharedBudgetLimits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ratioShare and slackShare are the parts of the shared limits that daemons use. The rest
	// is a margin, since requests are not spread evenly over windows and repeats caused by
	// retries at other services count too.
	ratioShare = 0.6
	slackShare = 0.4
	// knownShare is the part of the ratio that a daemon's own repeats and the calls of repeated runs
	// that it knows may take together. The rest is for the uneven spread.
	knownShare = 0.9
	// mayHaveRunCost is the cost of an attempt after one that may have run. A run makes calls
	// of its own; those of a repeated run count as repeats at the called services, which
	// cannot see why.
	mayHaveRunCost = 2.0
	// urgentShare is the part of the budget that is kept for the most urgent calls of a service when it sheds load: the
	// budget is then far below the number of calls that were shed.
	urgentShare = 0.6
)

// SharedBudget is a daemon's part of a retry budget that all daemons share without communication:
// the ratio of the requests that this daemon has seen, less the calls of repeated runs that it knows,
// and an equal part of the slack. Its methods are safe for concurrent use.
type SharedBudget struct {
	limits  SharedBudgetLimits
	daemons func() int // number of daemons that share the slack
	now     func() time.Time

	mu       sync.Mutex
	runs     []time.Time // of the backend server beside the daemon
	repeated []time.Time // those of runs that were repeats
	services map[ident.ServiceID]*sharedService
}

type sharedService struct {
	requests []time.Time
	attempts units // repeats by this daemon, by their cost
	// calls are those that repeated runs of the backend server beside the daemon have made, as far as
	// known: each call from the VM counts with the share of its runs that were repeats.
	calls units
	// urgent is the highest rank of the calls, and when the last one of it came.
	urgent   int
	urgentAt time.Time
}

// units is a sum of amounts within a window.
type units struct {
	whole    []time.Time // one entry for each whole unit
	fraction float64     // that is not in whole yet
}

func (u *units) add(amount float64, now time.Time) {
	for u.fraction += amount; u.fraction >= 1; u.fraction-- {
		u.whole = append(u.whole, now)
	}
}

func (u *units) sum() float64 { return float64(len(u.whole)) + u.fraction }

// NewSharedBudget returns a SharedBudget without attempts. A nil now means time.Now.
func NewSharedBudget(l SharedBudgetLimits, daemons func() int, now func() time.Time) *SharedBudget {
	if now == nil {
		now = time.Now
	}
	return &SharedBudget{limits: l, daemons: daemons, now: now, services: map[ident.ServiceID]*sharedService{}}
}

// Request counts a request for service from the daemon's VM. The backend server on the VM may have made it in a repeated
// run, which makes it a repeat itself.
func (s *SharedBudget) Request(service ident.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	v := s.serviceAt(service, now)
	v.requests = append(v.requests, now)
	if share := s.repeatedShare(now); share > 0 {
		v.calls.add(share, now)
	}
}

// Run counts a run of the backend server beside the daemon. repeat means that the request had reached a backend server
// before.
func (s *SharedBudget) Run(repeat bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.runs = append(dropBefore(s.runs, now.Add(-s.limits.Window)), now)
	if repeat {
		s.repeated = append(s.repeated, now)
	}
}

// repeatedShare returns the share of repeats among the runs in the window that ends now. The caller holds s.mu.
func (s *SharedBudget) repeatedShare(now time.Time) float64 {
	if len(s.repeated) == 0 {
		return 0
	}
	from := now.Add(-s.limits.Window)
	s.runs, s.repeated = dropBefore(s.runs, from), dropBefore(s.repeated, from)
	return float64(len(s.repeated)) / float64(max(1, len(s.runs)))
}

// TakeShed reports whether a call of rank, which a backend server has shed, may be sent to another one, and counts it. Zero
// is the highest rank. Less urgent calls leave a part of the budget to the most urgent ones of the service.
func (s *SharedBudget) TakeShed(service ident.ServiceID, rank int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	v := s.serviceAt(service, now)
	if v.urgentAt.IsZero() || rank <= v.urgent || now.Sub(v.urgentAt) > s.limits.Window {
		v.urgent, v.urgentAt = rank, now
	}
	share := 1.0
	if rank > v.urgent {
		share -= urgentShare
	}
	return s.take(v, 1, share, now)
}

// Take reports whether one more attempt of kind k may be made at service, and counts it.
func (s *SharedBudget) Take(service ident.ServiceID, k Kind) bool {
	cost := mayHaveRunCost
	if k == NotRun {
		cost = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return s.take(s.serviceAt(service, now), cost, 1, now)
}

// take takes cost from the budget of v unless that exceeds a share of it. The caller holds s.mu.
func (s *SharedBudget) take(v *sharedService, cost, share float64, now time.Time) bool {
	ratio := s.limits.Ratio * float64(len(v.requests))
	allowed := max(0, min(ratioShare*ratio, knownShare*ratio-v.calls.sum())) + slackShare*s.limits.Slack/float64(max(1, s.daemons()))
	if v.attempts.sum()+cost > share*allowed {
		return false
	}
	v.attempts.add(cost, now)
	return true
}

// serviceAt returns the state of service for the window that ends now.
func (s *SharedBudget) serviceAt(service ident.ServiceID, now time.Time) *sharedService {
	v := s.services[service]
	if v == nil {
		v = &sharedService{}
		s.services[service] = v
	}
	from := now.Add(-s.limits.Window)
	v.requests = dropBefore(v.requests, from)
	v.attempts.whole = dropBefore(v.attempts.whole, from)
	v.calls.whole = dropBefore(v.calls.whole, from)
	return v
}

// dropBefore returns the times at or after from. The times must be in ascending order.
func dropBefore(ts []time.Time, from time.Time) []time.Time {
	n := 0
	for n < len(ts) && ts[n].Before(from) {
		n++
	}
	return ts[n:]
}
