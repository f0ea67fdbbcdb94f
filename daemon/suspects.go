package daemon

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/poison"
	"github.com/marjoramcroft/marjoramcroft/proxy"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// typeSuspects is the message that sends suspects to the other daemons of a service.
const typeSuspects wire.Type = "poison.Exchange"

// suspectsTimeout bounds the sending of suspects to all daemons of the service.
const suspectsTimeout = time.Second

// beginSuspect returns the function to call when a request to the backend server has ended. After a
// crash the suspect is sent to the other daemons at once, because its caller may retry at once.
func (d *Daemon) beginSuspect(s proxy.Suspect, b ident.Addr) func(crashed bool) {
	return func(crashed bool) {
		if !crashed {
			return
		}
		// Compute the fingerprint here, because it is needed only after a crash.
		d.suspects.Begin(fingerprint(s), b)(true)
		select {
		case d.suspectAdded <- struct{}{}:
		default:
		}
	}
}

// clearSuspect records that the backend server has completed a request. The fingerprint is computed
// only if there are suspects.
func (d *Daemon) clearSuspect(s proxy.Suspect) {
	if !d.suspects.Empty() {
		d.suspects.Clear(fingerprint(s))
	}
}

// exchangeSuspects sends new suspects to the other daemons of the service after each crash of the
// backend server.
func (d *Daemon) exchangeSuspects() {
	sent := map[poison.Fingerprint]int{}
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.suspectAdded:
		}
		s := d.service.Load()
		if list := unsent(d.suspects.List(), sent); len(list) > 0 {
			d.sendSuspects(s, list)
		}
	}
}

// unsent returns the suspects of list with more crashes than recorded in sent, and updates sent to
// match list.
func unsent(list []poison.Suspect, sent map[poison.Fingerprint]int) []poison.Suspect {
	var out []poison.Suspect
	present := map[poison.Fingerprint]bool{}
	for _, s := range list {
		present[s.Fingerprint] = true
		if len(s.Servers) > sent[s.Fingerprint] {
			sent[s.Fingerprint] = len(s.Servers)
			out = append(out, s)
		}
	}
	maps.DeleteFunc(sent, func(fp poison.Fingerprint, _ int) bool { return !present[fp] })
	return out
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
			// A daemon that misses a message learns of the suspect at its own next crash.
			if err := d.conns.call(ctx, srv.Control, typeSuspects, list, nil); err != nil {
				d.stats.Inc("Poison.ExchangeFailed")
			}
		})
	}
	wg.Wait()
}

func (d *Daemon) handleSuspects(body []byte) ([]byte, error) {
	var list []poison.Suspect
	if err := wire.Decode(body, &list); err != nil {
		return nil, err
	}
	d.suspects.Merge(list)
	return nil, nil
}
