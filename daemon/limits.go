package daemon

import (
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/guard"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/proxy"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// hopHeaderBytes is above what another daemon adds to the header of a call that it forwards.
const hopHeaderBytes = 4 << 10

// headerLimit returns the limit of the header of r, in bytes. A caller's header within its limit passes each daemon.
func (d *Daemon) headerLimit(r *http.Request) int {
	if r.Header.Get(proxy.HeaderHop) != "" {
		return d.settings.Limits.HeaderBytes + hopHeaderBytes
	}
	return d.settings.Limits.HeaderBytes
}

// limitBody limits the time in which the body of r arrives, also if only net/http reads it, after a refusal. The deadline of a
// call replaces it.
func (d *Daemon) limitBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// If the deadline cannot be set, reads fail as well.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(d.settings.Limits.HeaderTimeout))
	}
}

// limitClients sets the limits of the listeners. Their clients may keep to none themselves.
func (d *Daemon) limitClients() {
	set, vm := d.settings.Limits, d.settings.vm()
	d.transfers = guard.NewTransfers()
	d.requests = origin.NewBodyBudget(vm.RequestMemory())
	d.requests.OnFull(d.transfers.Reclaim)
	d.guard = guard.New(guard.Config{
		Name: "Callers", Conns: vm.CallerConns(),
		HeaderBytes: func() int { return set.HeaderBytes + hopHeaderBytes }, HeaderMemory: vm.HeaderMemory(),
		HeaderTimeout: func() time.Duration { return set.HeaderTimeout },
		IdleTimeout:   func() time.Duration { return set.IdleTimeout },
		Transfers:     d.transfers,
		RefusalFields: refuse.HeaderReason + ": " + string(refuse.MemoryFull) + "\r\n" + refuse.HeaderRan + ": " + string(refuse.RanNo) + "\r\n",
	}, d.log, d.stats)
	d.unidentified = guard.NewLinks(guard.LinksConfig[*wire.Conn]{
		Name: "Control", Most: int(vm.UnidentifiedLinks()), FrameMemory: vm.HeaderMemory(),
		Close: func(c *wire.Conn) { _ = c.Close() }, From: (*wire.Conn).RemoteAddr,
	}, d.log, d.stats)
	d.controlListener.Accepted = d.unidentified.Add
	d.controlListener.Ended = func(c *wire.Conn) { d.unidentified.Remove(c) }
	d.controlListener.Hold = d.unidentified.Hold
}
