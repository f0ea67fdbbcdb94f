package daemon

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/poison"
	"github.com/marjoramcroft/marjoramcroft/proxy"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// typeSuspects is the message that sends suspects to the other daemons of a service. Its answer has what the receiver
// knows beyond them; if there are none, all verdicts.
const typeSuspects wire.Type = "poison.Exchange"

const (
	// suspectsTimeout bounds the sending of suspects to all daemons of the service.
	suspectsTimeout = time.Second
	// crashSpan is the time in which the calls of one crash end: those with a broken connection wait up to 3 s for the
	// announcement of the next process.
	crashSpan = 3500 * time.Millisecond
	// fetchPause and fetchTime are how often, and for how long, a daemon that has started looks for others of its
	// service to ask for verdicts. After an outage of the store it learns of them within seconds.
	fetchPause = 50 * time.Millisecond
	fetchTime  = 30 * time.Second
)

// suspectQueue holds suspects to be sent, and names the crashes of the backend server.
type suspectQueue struct {
	added chan struct{} // signals that list is not empty

	mu      sync.Mutex
	list    []poison.Suspect
	crash   uint64    // number of the last crash
	crashAt time.Time // when its first call ended
}

func newSuspectQueue() *suspectQueue { return &suspectQueue{added: make(chan struct{}, 1)} }

func (q *suspectQueue) add(list []poison.Suspect) {
	if len(list) == 0 {
		return
	}
	q.mu.Lock()
	q.list = append(q.list, list...)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

func (q *suspectQueue) take() []poison.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.list
	q.list = nil
	return list
}

// crashOf names the crash of the backend server b that ended a call now. Not every backend server tells its processes
// apart, so the calls that end within crashSpan belong to one crash.
func (q *suspectQueue) crashOf(b ident.Addr, daemon ident.Incarnation) poison.Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := time.Now(); q.crash == 0 || now.Sub(q.crashAt) > crashSpan {
		q.crash++
		q.crashAt = now
	}
	return poison.Crash{
		Server: b, Process: strconv.FormatInt(int64(daemon), 10) + "/" + strconv.FormatUint(q.crash, 10), Born: q.crashAt.UnixMilli(),
	}
}

// beginSuspect returns the function to call when a request to the backend server has ended. After a
// crash the suspect is sent to the other daemons at once, because its caller may retry at once.
func (d *Daemon) beginSuspect(s proxy.Suspect, b ident.Addr) func(crashed bool) {
	return func(crashed bool) {
		if !crashed {
			return
		}
		// Compute the fingerprint here, because it is needed only after a crash.
		d.outSuspects.add(d.suspects.Crashed(d.outSuspects.crashOf(b, d.incarnation), []poison.Fingerprint{fingerprint(s)}))
	}
}

// admitSuspect returns a refusal if the request is poisoned and is not tried here.
func (d *Daemon) admitSuspect(s proxy.Suspect) error {
	if d.suspects.Empty() {
		return nil
	}
	trial, _, err := d.suspects.Admit(fingerprint(s))
	d.outSuspects.add(trial)
	return err
}

// clearSuspect records that the backend server has completed a request.
func (d *Daemon) clearSuspect(s proxy.Suspect) {
	d.outSuspects.add(d.suspects.Answered(fingerprint(s)))
}

// exchangeSuspects sends new evidence to the other daemons of the service.
func (d *Daemon) exchangeSuspects() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.outSuspects.added:
		}
		if list := d.outSuspects.take(); len(list) > 0 {
			d.wg.Go(func() { d.sendSuspects(d.service.Load(), list) })
		}
	}
}

// fetchVerdicts asks the other daemons of the service for the verdicts that they know.
func (d *Daemon) fetchVerdicts() {
	t := time.NewTicker(fetchPause)
	defer t.Stop()
	for began := time.Now(); time.Since(began) < fetchTime; {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
		}
		s := d.service.Load()
		if s == nil || !slices.ContainsFunc(d.registry.Servers(s.id), func(o peers.Server) bool { return o.Control != d.controlAddr }) {
			continue
		}
		d.sendSuspects(s, nil)
		return
	}
}

func (d *Daemon) sendSuspects(s *service, list []poison.Suspect) {
	ctx, cancel := context.WithTimeout(d.ctx, suspectsTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, srv := range d.registry.Servers(s.id) {
		if srv.Control == d.controlAddr {
			continue
		}
		wg.Go(func() {
			// A daemon that misses a message is told when it sends its own suspects.
			var more []poison.Suspect
			if err := d.conns.call(ctx, srv.Control, typeSuspects, list, &more); err != nil {
				d.stats.Inc("Poison.ExchangeFailed")
				return
			}
			d.suspects.Merge(more)
		})
	}
	wg.Wait()
}

func (d *Daemon) handleSuspects(body []byte) ([]byte, error) {
	var list []poison.Suspect
	if err := wire.Decode(body, &list); err != nil {
		return nil, err
	}
	if len(list) == 0 {
		return wire.Encode(d.suspects.Verdicts())
	}
	return wire.Encode(d.suspects.Merge(list))
}
