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
	// mayHaveRunCost is the cost of an attempt after one that may have run. A run makes calls
	// of its own; those of a repeated run count as repeats at the called services, which
	// cannot see why.
	mayHaveRunCost = 2.0
)

// SharedBudget is a daemon's part of a retry budget that all daemons share without communication:
// the ratio of the requests that this daemon has seen, and an equal part of the slack. Its
// methods are safe for concurrent use.
type SharedBudget struct {
	limits  SharedBudgetLimits
	daemons func() int // number of daemons that share the slack
	now     func() time.Time

	mu       sync.Mutex
	services map[ident.ServiceID]*sharedService
}

type sharedService struct {
	requests []time.Time
	attempts []time.Time // one entry for each whole unit of cost
	fraction float64     // fraction of a unit that is not in attempts yet
}

// NewSharedBudget returns a SharedBudget without attempts. A nil now means time.Now.
func NewSharedBudget(l SharedBudgetLimits, daemons func() int, now func() time.Time) *SharedBudget {
	if now == nil {
		now = time.Now
	}
	return &SharedBudget{limits: l, daemons: daemons, now: now, services: map[ident.ServiceID]*sharedService{}}
}

// Request counts a request for service.
func (s *SharedBudget) Request(service ident.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	v := s.serviceAt(service, now)
	v.requests = append(v.requests, now)
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
	v := s.serviceAt(service, now)
	allowed := ratioShare*s.limits.Ratio*float64(len(v.requests)) + slackShare*s.limits.Slack/float64(max(1, s.daemons()))
	if float64(len(v.attempts))+v.fraction+cost > allowed {
		return false
	}
	for v.fraction += cost; v.fraction >= 1; v.fraction-- {
		v.attempts = append(v.attempts, now)
	}
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
	v.attempts = dropBefore(v.attempts, from)
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
