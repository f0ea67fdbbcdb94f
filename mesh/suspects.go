package mesh

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/poison"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

const (
	// crashWindow is how long before a crash is detected a lost connection counts as caused by it. The
	// backend server is on the same VM, so a lost and then a refused connection are milliseconds apart.
	crashWindow = 500 * time.Millisecond
	// maxLostRequests limits the requests remembered for crashWindow. It exceeds the number of connections of
	// a backend server.
	maxLostRequests = 1024
	// crashCheckTimeout limits the dial that distinguishes a crash from a lost answer.
	crashCheckTimeout = 200 * time.Millisecond
)

// crashDetector distinguishes requests in flight during a backend server's crash from requests that only lost
// their answers.
type crashDetector struct {
	mu       sync.Mutex
	lost     []lostRequest
	checking bool
}

// lostRequest is a request whose connection was closed before an answer.
type lostRequest struct {
	fingerprint poison.Fingerprint
	at          time.Time
}

// fingerprint identifies requests that a backend server cannot tell apart.
func fingerprint(caller ident.ServiceID, route ident.RouteID, method, uri string, body []byte) poison.Fingerprint {
	return poison.NewFingerprint(ident.MemberID(caller), route, method, uri, body)
}

func (r *request) fingerprint() poison.Fingerprint {
	return fingerprint(r.Caller, r.Route, r.Method, r.URI, r.Body)
}

func (p *pendingCall) fingerprint() poison.Fingerprint {
	return fingerprint(p.n.d.Caller(), p.route.ID, p.c.Method, p.c.URI, p.c.Body)
}

// checkSuspect returns a refusal if the request is poisoned, and how long that holds. The fingerprint is computed only
// if there has been a crash.
func (n *Node) checkSuspect(f func() poison.Fingerprint) (time.Duration, error) {
	if n.suspects.Empty() {
		return 0, nil
	}
	return n.suspects.Check(f())
}

// admitSuspect is checkSuspect for a request that is about to be sent to the backend server. The other daemons are
// told of a trial at once.
func (n *Node) admitSuspect(r *request) (time.Duration, error) {
	if n.suspects.Empty() {
		return 0, nil
	}
	trial, wait, err := n.suspects.Admit(r.fingerprint())
	n.sendSuspects(r.Service, trial)
	return wait, err
}

// poisonedRejection returns the reply for a poisoned request.
func poisonedRejection(wait time.Duration, err error) *reply {
	out := rejection(err)
	out.Wait = wait
	return out
}

// poisoned reports whether the request of the call is poisoned. It is checked before each attempt, because the previous
// attempt may have caused the last crash.
func (p *pendingCall) poisoned() bool {
	wait, err := p.n.checkSuspect(p.fingerprint)
	if err == nil {
		return false
	}
	p.refusal, p.untilTrial = refuse.From(err), wait
	return true
}

// recordLostAnswer records a request whose connection was closed before an answer, and starts a check whether
// the backend server has crashed.
func (n *Node) recordLostAnswer(s *localServer, r *request) {
	now := n.d.Now()
	c := &n.crashes
	c.mu.Lock()
	c.lost = slices.DeleteFunc(c.lost, func(l lostRequest) bool { return now.Sub(l.at) > crashWindow })
	if len(c.lost) < maxLostRequests {
		c.lost = append(c.lost, lostRequest{fingerprint: r.fingerprint(), at: now})
	}
	check := !c.checking
	c.checking = true
	c.mu.Unlock()
	if check {
		n.wg.Go(func() { n.detectCrash(s) })
	}
}

// detectCrash marks the requests with lost connections as suspects if the backend server refuses new
// connections.
func (n *Node) detectCrash(s *localServer) {
	ctx, cancel := context.WithTimeout(n.ctx, crashCheckTimeout)
	nc, err := n.d.Dial(ctx, "tcp", s.addr)
	cancel()
	if err == nil {
		_ = nc.Close()
	}
	n.crashes.mu.Lock()
	lost := n.crashes.lost
	n.crashes.lost, n.crashes.checking = nil, false
	n.crashes.mu.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	n.markUnreachable(s)
	// A server that was draining has ended as intended.
	if cur := n.currentServer(); cur == nil || cur.ID != s.ID || cur.Born != s.Born || cur.State != Ready {
		return
	}
	n.d.Log.Emit(event.BackendCrashed, "Server", s.ID, "Requests", len(lost))
	var list []poison.Fingerprint
	for _, l := range lost {
		if !slices.Contains(list, l.fingerprint) {
			list = append(list, l.fingerprint)
		}
	}
	n.sendSuspects(s.Service, n.suspects.Crashed(n.crashOf(s), list))
	n.publishVerdicts()
}

// mergeSuspects adds what another daemon knows of suspects, and returns what is known here beyond that.
func (n *Node) mergeSuspects(list []poison.Suspect) []poison.Suspect {
	if len(list) == 0 {
		return nil
	}
	more := n.suspects.Merge(list)
	n.publishVerdicts()
	return more
}

// hasVerdicts reports whether the daemon's own state has verdicts.
func (n *Node) hasVerdicts() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.verdicts) > 0
}

// updateVerdicts updates the verdicts in the daemon's own state, and reports whether they have changed.
func (n *Node) updateVerdicts() bool {
	own := n.suspects.Own()
	n.mu.Lock()
	defer n.mu.Unlock()
	if slices.EqualFunc(n.verdicts, own, func(a, b poison.Suspect) bool { return a.Equal(&b) }) {
		return false
	}
	n.verdicts = own
	return true
}

// publishVerdicts publishes the daemon's own state if its verdicts have changed.
func (n *Node) publishVerdicts() {
	if n.updateVerdicts() {
		n.publish()
	}
}

// crashOf names the crash of the process of s.
func (n *Node) crashOf(s *localServer) poison.Crash {
	return poison.Crash{Server: n.d.Self, Process: s.ID, Born: s.Born}
}

// sendSuspects sends suspects to the daemons beside the backend servers of service, the only ones where such a request
// can run.
func (n *Node) sendSuspects(service ident.ServiceID, list []poison.Suspect) {
	if len(list) == 0 {
		return
	}
	m := &notice{Version: n.Version(), Suspects: list}
	for _, addr := range n.peers.hosts(service) {
		if addr == n.d.Self {
			continue
		}
		n.wg.Go(func() {
			// An unreachable daemon is told when it sends its own suspects.
			if c, err := n.linkTo(n.ctx, addr); err == nil {
				n.notify(c, m)
			}
		})
	}
}

// recordAnswer records that a backend server of service answered a request, and tells the other daemons if that refutes
// a suspicion.
func (n *Node) recordAnswer(service ident.ServiceID, fp poison.Fingerprint, status int) {
	if status >= 500 {
		return
	}
	if refuted := n.suspects.Answered(fp); len(refuted) > 0 {
		n.sendSuspects(service, refuted)
		n.publishVerdicts()
	}
}
