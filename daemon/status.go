package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/admin"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/peers"
	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

func (d *Daemon) buildAdmin() {
	d.admin = admin.New(admin.Deps{
		Ready: d.ready, Status: d.Status, Explain: d.explain, Announce: d.handleAnnouncement,
		IssueKey: d.issueKey, Retire: d.retire, Stats: d.stats,
	})
}

// ready returns the reason why the daemon does not serve calls, or nil if it does.
func (d *Daemon) ready() error {
	switch {
	case d.stopping.Load():
		return errors.New("stopping")
	case d.holder.Serving():
		return nil
	case d.holder.Held().Version() > 0 && d.holder.Held().Version() < d.holder.Floor():
		return fmt.Errorf("below floor: Version %d arrived, %d was served at this address", d.holder.Held().Version(), d.holder.Floor())
	}
	return errors.New("no agreement")
}

// Status returns the state of the daemon for the admin server.
func (d *Daemon) Status() admin.Status {
	a := d.holder.Agreement()
	st := admin.Status{
		Addr: d.httpAddr, Place: d.settings.place(), Version: a.Version(), Since: d.activation.timeOf(a.Version()), Hash: a.Hash().String(), Rows: a.Len(),
		Ready: true, CircuitOpen: d.store.client.CircuitOpen(),
	}
	if err := d.ready(); err != nil {
		st.Ready, st.Reason = false, err.Error()
	}
	if d.agent.IsForwarder() {
		st.Roles = append(st.Roles, "Forwarder")
	}
	if d.node.IsRoot() {
		st.Roles = append(st.Roles, "Root")
	}
	if s := d.service.Load(); s != nil {
		if s.keeper.Elected() {
			st.Roles = append(st.Roles, "Keeper:"+string(s.id))
		}
		d.backend.mu.Lock()
		st.Server = &admin.ServerStatus{
			Service: s.id, State: string(d.backend.state), Slots: d.backend.last.Slots, InUse: s.gate.InUse(),
		}
		d.backend.mu.Unlock()
	}
	return st
}

func (d *Daemon) explain(m ident.MemberID, method, path string) admin.Explanation {
	a := d.holder.Agreement()
	out := admin.Explanation{Version: a.Version(), Member: m, Path: path, Method: method}
	switch {
	case a.Version() == 0:
		out.Refused = string(refuse.NoAgreement)
		return out
	case !a.HasMember(m):
		out.Refused = string(refuse.NoMember)
		return out
	}
	row, ok := a.Route(m, path)
	if !ok {
		out.Refused = string(refuse.NoRoute)
		return out
	}
	out.Route, out.Idempotent, out.Cap = &row, row.Repeat.IsIdempotent(method), a.Cap(m, row.Service)
	for _, s := range d.registry.Servers(row.Service) {
		out.Servers = append(out.Servers, admin.ServerChoice{
			Addr: s.Addr, Place: s.Place, State: string(s.State), Distance: d.settings.place().Distance(s.Place),
		})
	}
	if len(out.Servers) == 0 {
		out.Refused = string(refuse.NoServer)
	}
	return out
}

// issueKey returns a bound idempotency key. Only a daemon of the service can be the home of a key, so
// another daemon requests it from the nearest one that answers.
func (d *Daemon) issueKey(id ident.ServiceID) (string, error) {
	if s := d.service.Load(); s != nil && s.id == id {
		k, err := s.table.Issue()
		return string(k), err
	}
	if d.holder.Agreement().HasService(id) { // subscriptions are kept, and a client may ask for any name
		d.agent.Subscribe(id)
	}
	place := d.settings.place()
	for distance := range 3 {
		for _, s := range d.registry.Servers(id) {
			if s.State != peers.Ready || place.Distance(s.Place) != distance {
				continue
			}
			if k, err := d.requestKey(s.Control, id); err == nil {
				return k, nil
			}
		}
	}
	return "", fmt.Errorf("no daemon of service %s answers", id)
}

func (d *Daemon) requestKey(addr ident.Addr, id ident.ServiceID) (string, error) {
	ctx, cancel := context.WithTimeout(d.ctx, time.Second)
	defer cancel()
	var key string
	err := d.conns.call(ctx, addr, typeIssue, id, &key)
	return key, err
}

// retire tells the keeper of the daemon's service that the VM at addr is gone permanently.
func (d *Daemon) retire(addr ident.Addr) error {
	s := d.service.Load()
	if s == nil {
		return errNoService
	}
	ctx, cancel := context.WithTimeout(d.ctx, 2*time.Second)
	defer cancel()
	keeper, err := s.keeper.Locate(ctx)
	if err != nil {
		return fmt.Errorf("locate the keeper of %s: %w", s.id, err)
	}
	return d.conns.call(ctx, keeper, quota.TypeRetire, quota.Retire{Service: s.id, Addr: addr}, nil)
}
