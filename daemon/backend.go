package daemon

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/admin"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/proxy"
)

// backend is the last announced state of the backend server beside the daemon.
type backend struct {
	// announceMu serialises the handling of announcements, so that a late one of a former process
	// does not overwrite that of its successor.
	announceMu  sync.Mutex
	mu          sync.Mutex
	last        admin.Announcement
	state       peers.State
	announcedAt time.Time // of last
}

func (d *Daemon) currentBackend() proxy.Backend {
	d.backend.mu.Lock()
	defer d.backend.mu.Unlock()
	a := d.backend.last
	return proxy.Backend{Service: a.Service, Addr: a.Backend, Conns: a.Conns}
}

// handleAnnouncement applies an announcement of the backend server and publishes changes. It returns
// admin.ErrWrongServer if the service differs from that of earlier announcements, and
// admin.ErrFormerProcess if a later process has already announced itself, admin.ErrLeftProcess if this one
// had announced that it leaves, and admin.ErrStopping if it is the first one and the daemon is stopping.
func (d *Daemon) handleAnnouncement(a admin.Announcement) error {
	d.backend.announceMu.Lock()
	defer d.backend.announceMu.Unlock()
	s, err := d.ensureService(a.Service)
	if err != nil {
		return err
	}
	st := peers.State(a.State)
	process := d.target.Announced(a.Incarnation, st == peers.Draining || st == peers.Gone)
	switch process {
	case proxy.ProcessStale:
		d.stats.Inc("Backend.FormerProcess")
		return admin.ErrFormerProcess
	case proxy.ProcessLeft:
		d.stats.Inc("Backend.LeftProcess")
		return admin.ErrLeftProcess
	}
	d.backend.mu.Lock()
	changed := d.backend.last != a || d.backend.state != st
	d.backend.last, d.backend.state, d.backend.announcedAt = a, st, time.Now()
	d.backend.mu.Unlock()
	if process == proxy.ProcessCrashed {
		d.stats.Inc("Backend.Restarted")
		d.log.Emit(event.BackendRestarted, "Service", a.Service, "Backend", a.Backend, "Incarnation", a.Incarnation)
	}
	if !changed || d.stopping.Load() {
		return nil
	}
	if process == proxy.ProcessSame {
		s.gate.Configure(a.Slots, st)
	} else {
		s.gate.Restart(a.Slots, st)
	}
	d.publish(a, st)
	return nil
}

// publish announces the backend server in state st to the other daemons.
func (d *Daemon) publish(a admin.Announcement, st peers.State) {
	d.agent.Announce(peers.Server{
		Service: a.Service, Addr: d.httpAddr, Backend: a.Backend, Slots: a.Slots, Conns: a.Conns, State: st,
	})
}

// publishState publishes the backend server with state st instead of the state that it announced.
func (d *Daemon) publishState(st peers.State) {
	d.backend.mu.Lock()
	a := d.backend.last
	d.backend.mu.Unlock()
	if a.Service != "" {
		d.publish(a, st)
	}
}

// watchBackend marks the backend server as gone after Server.GoneAfter without an announcement.
func (d *Daemon) watchBackend() {
	t := time.NewTicker(d.settings.Server.GoneAfter / 6)
	defer t.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
		}
		d.backend.mu.Lock()
		silence := time.Since(d.backend.announcedAt)
		expired := d.backend.last.Service != "" && d.backend.state != peers.Gone && silence > d.settings.Server.GoneAfter
		if expired {
			d.backend.state = peers.Gone
		}
		a := d.backend.last
		d.backend.mu.Unlock()
		if expired && !d.stopping.Load() {
			d.log.Emit(event.BackendSilent, "Service", a.Service, "Backend", a.Backend, "Silent", silence)
			d.service.Load().gate.Configure(a.Slots, peers.Gone)
			d.publish(a, peers.Gone)
		}
	}
}

// ensureService returns the daemon's service and starts it on the first call. A daemon serves only one
// service, so that any other id returns admin.ErrWrongServer. A daemon that is stopping starts no service and
// returns admin.ErrStopping.
func (d *Daemon) ensureService(id ident.ServiceID) (*service, error) {
	d.backend.mu.Lock()
	defer d.backend.mu.Unlock()
	if s := d.service.Load(); s != nil {
		if s.id != id {
			return nil, admin.ErrWrongServer
		}
		return s, nil
	}
	if d.stopping.Load() {
		return nil, admin.ErrStopping
	}
	// Subscribe to the other daemons of the service, which the keeper and the exchange of suspects need.
	d.agent.Subscribe(id)
	s := d.newService(id)
	d.service.Store(s)
	d.setClaims(s.table)
	s.run(d.ctx)
	return s, nil
}

// finalService returns the service of a daemon that is stopping, or nil if there is none. A service that is
// being started meanwhile is started completely before finalService returns, and no other one starts later.
func (d *Daemon) finalService() *service {
	d.backend.mu.Lock()
	defer d.backend.mu.Unlock()
	return d.service.Load()
}
