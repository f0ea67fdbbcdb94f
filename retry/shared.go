package retry

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// SharedLimits bounds the further attempts of all daemons together: within any Window, per service,
// Ratio of its requests and Slack more.
type SharedLimits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ratioShare and slackShare are the parts of the shared limits that daemons use, since requests are not
	// spread evenly over windows and repeats of other services' requests count too.
	ratioShare = 0.6
	slackShare = 0.4
	// ranCost is the cost of an attempt after one that may have run. A run makes calls of its own, and those
	// of a repeated run count as repeats at services that do not see why.
	ranCost = 2.0
)

// Shared is a daemon's part of a retry budget that all daemons share without talking about it: the ratio
// of the requests that it saw itself, and an equal part of the slack. Its methods are safe for
// concurrent use.
type Shared struct {
	limits  SharedLimits
	daemons func() int // daemons that share the slack
	now     func() time.Time

	mu       sync.Mutex
	services map[ident.ServiceID]*sharedService
}

type sharedService struct {
	requests []time.Time
	attempts []time.Time // one for each whole of cost
	rest     float64     // cost that is not in attempts yet
}

// NewShared returns a Shared without attempts. A nil now is the process's clock.
func NewShared(l SharedLimits, daemons func() int, now func() time.Time) *Shared {
	if now == nil {
		now = time.Now
	}
	return &Shared{limits: l, daemons: daemons, now: now, services: map[ident.ServiceID]*sharedService{}}
}

// Request counts a request for service.
func (s *Shared) Request(service ident.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	v := s.at(service, now)
	v.requests = append(v.requests, now)
}

// Take reports whether one more attempt of kind k may be made at service, and counts it.
func (s *Shared) Take(service ident.ServiceID, k Kind) bool {
	cost := ranCost
	if k == NotRun {
		cost = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	v := s.at(service, now)
	allowed := ratioShare*s.limits.Ratio*float64(len(v.requests)) + slackShare*s.limits.Slack/float64(max(1, s.daemons()))
	if float64(len(v.attempts))+v.rest+cost > allowed {
		return false
	}
	for v.rest += cost; v.rest >= 1; v.rest-- {
		v.attempts = append(v.attempts, now)
	}
	return true
}

// at returns the state of service within the window that ends now.
func (s *Shared) at(service ident.ServiceID, now time.Time) *sharedService {
	v := s.services[service]
	if v == nil {
		v = &sharedService{}
		s.services[service] = v
	}
	from := now.Add(-s.limits.Window)
	v.requests = since(v.requests, from)
	v.attempts = since(v.attempts, from)
	return v
}

// since returns the times at or after from. The times are in order.
func since(ts []time.Time, from time.Time) []time.Time {
	n := 0
	for n < len(ts) && ts[n].Before(from) {
		n++
	}
	return ts[n:]
}
