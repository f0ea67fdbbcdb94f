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
	// crashWindow is how long before a crash is noticed its requests lost their connections. The backend server
	// is on the same VM, so that a lost connection and a refused one are milliseconds apart.
	crashWindow = 500 * time.Millisecond
	// maxLost bounds the requests that are remembered for crashWindow: more than the connections of a
	// backend server.
	maxLost = 1024
	// checkTimeout bounds the connection that tells a crash from a lost answer.
	checkTimeout = 200 * time.Millisecond
)

// crashes tells requests that were in flight when the backend server crashed from those whose answers alone were lost.
type crashes struct {
	mu       sync.Mutex
	lost     []lostRequest
	checking bool
}

// lostRequest is a request whose connection ended without an answer.
type lostRequest struct {
	fingerprint poison.Fingerprint
	at          time.Time
}

// fingerprint identifies requests that are equal to the backend servers.
func fingerprint(caller ident.ServiceID, route ident.RouteID, method, uri string, body []byte) poison.Fingerprint {
	return poison.NewFingerprint(ident.MemberID(caller), route, method, uri, body)
}

func (r *request) fingerprint() poison.Fingerprint {
	return fingerprint(r.Caller, r.Route, r.Method, r.URI, r.Body)
}

func (v *visit) fingerprint() poison.Fingerprint {
	return fingerprint(v.n.d.Caller(), v.route.ID, v.c.Method, v.c.URI, v.c.Body)
}

// checkCrasher returns the refusal of a request that was in flight at several crashes. The fingerprint is computed
// only once there has been a crash.
func (n *Node) checkCrasher(f func() poison.Fingerprint) error {
	if n.suspects.Empty() {
		return nil
	}
	return n.suspects.Check(f())
}

// poisoned reports whether the call is like one that was in flight at several crashes. It is asked before each
// attempt, since the attempt before may have been the last of these.
func (v *visit) poisoned() bool {
	err := v.n.checkCrasher(v.fingerprint)
	if err == nil {
		return false
	}
	v.refusal, v.waits = refuse.From(err), poison.Expiry
	return true
}

// lostAnswer notes a request whose connection ended without an answer, and finds out whether the backend server
// has crashed.
func (n *Node) lostAnswer(s *local, r *request) {
	now := n.d.Now()
	c := &n.crashes
	c.mu.Lock()
	c.lost = slices.DeleteFunc(c.lost, func(l lostRequest) bool { return now.Sub(l.at) > crashWindow })
	if len(c.lost) < maxLost {
		c.lost = append(c.lost, lostRequest{fingerprint: r.fingerprint(), at: now})
	}
	check := !c.checking
	c.checking = true
	c.mu.Unlock()
	if check {
		n.wg.Go(func() { n.checkCrash(s) })
	}
}

// checkCrash suspects the requests that lost their connections if the backend server accepts no new ones.
func (n *Node) checkCrash(s *local) {
	ctx, cancel := context.WithTimeout(n.ctx, checkTimeout)
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
	n.unreachable(s)
	// One that was leaving has ended by design.
	if cur := n.beside(); cur == nil || cur.ID != s.ID || cur.Born != s.Born || cur.State != Ready {
		return
	}
	n.d.Log.Emit(event.BackendCrashed, "Server", s.ID, "Requests", len(lost))
	for _, l := range lost {
		n.suspects.Begin(l.fingerprint, n.d.Self)(true)
	}
	n.tellSuspects(s.Service)
}

// tellSuspects sends the suspects to the daemons beside the backend servers of service, where alone such a request
// can run.
func (n *Node) tellSuspects(service ident.ServiceID) {
	m := &notice{Suspects: n.suspects.List()}
	for _, addr := range n.roster.hosts(service) {
		if addr == n.d.Self {
			continue
		}
		n.wg.Go(func() {
			// A daemon that cannot be reached learns of them at the next crash.
			if c, err := n.linkTo(n.ctx, addr); err == nil {
				n.notify(c, m)
			}
		})
	}
}

// completed notes that a backend server has answered a request, so that it is no longer a suspect of one crash.
func (n *Node) completed(f func() poison.Fingerprint, status int) {
	if status < 500 && !n.suspects.Empty() {
		n.suspects.Clear(f())
	}
}
