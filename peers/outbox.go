package peers

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// outbox queues the changes for one connection. Of several changes to a server only the
// last is kept, so that the size is bounded by that of the registry.
type outbox struct {
	wake      chan struct{}
	suspected func(ident.Addr) bool // reports whether a daemon is suspect here

	mu       sync.Mutex
	rows     map[key]Server
	suspects []Suspect
}

func newOutbox(suspected func(ident.Addr) bool) *outbox {
	return &outbox{wake: make(chan struct{}, 1), suspected: suspected, rows: map[key]Server{}}
}

func (o *outbox) add(s Server) {
	o.mu.Lock()
	o.rows[key{s.Service, s.Addr}] = s
	o.mu.Unlock()
	o.wakeUp()
}

func (o *outbox) suspect(s Suspect) {
	o.mu.Lock()
	o.suspects = append(o.suspects, s)
	o.mu.Unlock()
	o.wakeUp()
}

func (o *outbox) wakeUp() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) take() ([]Server, []Suspect) {
	o.mu.Lock()
	defer o.mu.Unlock()
	rows := make([]Server, 0, len(o.rows))
	for _, s := range o.rows {
		rows = append(rows, s)
	}
	clear(o.rows)
	suspects := o.suspects
	o.suspects = nil
	return rows, suspects
}

// flush sends the queued changes. It leaves out suspicions that have ended since: the announcement that ended them is
// sent first.
func (o *outbox) flush(c *wire.Conn, from ident.DataCentre) error {
	rows, suspects := o.take()
	if len(rows) > 0 {
		sortServers(rows)
		if err := c.Notify(TypeServers, ServerList{From: from, Rows: toRows(rows)}); err != nil {
			return err
		}
	}
	for _, s := range suspects {
		if !o.suspected(s.Control) {
			continue
		}
		s.From = from
		if err := c.Notify(TypeSuspect, s); err != nil {
			return err
		}
	}
	return nil
}

// run sends queued changes until the connection or ctx ends.
func (o *outbox) run(ctx context.Context, c *wire.Conn, from ident.DataCentre) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Done():
			return
		case <-o.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-c.Done():
			return
		case <-time.After(coalesceDelay):
		}
		if o.flush(c, from) != nil {
			return
		}
	}
}
