package mesh

import (
	"errors"
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Heartbeat is the state that a backend server reports.
type Heartbeat struct {
	ID      string
	Service ident.ServiceID
	Addr    string // address for requests
	Slots   int
	State   State
	Seq     int64 // increases during the lifetime of its process
	Started int64 // process start, Unix milliseconds on the server's clock; zero: not stated
	WarmUp  time.Duration
}

const (
	// maxSlots, maxWarmUp and maxClockLead bound what a backend server can report. A process can't have started after
	// now, but the VM's clock may have been set back since, and the server must not be out of use for that.
	maxSlots     = 1 << 16
	maxWarmUp    = time.Hour
	maxClockLead = 10 * 365 * 24 * time.Hour
	// displacedTime is how long a process must be heard, and the one that displaced it not, to be in use again. It spans
	// several heartbeats.
	displacedTime = 5 * time.Second
)

// ErrInvalidReport means that a report cannot come from a backend server beside the daemon.
var ErrInvalidReport = errors.New("not a report of the backend server beside the daemon")

// checkHeartbeat returns an error if h cannot come from the backend server. Another writer may have sent it.
func (n *Node) checkHeartbeat(h *Heartbeat) error {
	switch {
	case h.ID == "" || h.Service == "" || h.Addr == "" || h.Slots <= 0:
		return fmt.Errorf("%w: heartbeat of %q lacks id, service, address or slots", ErrInvalidReport, h.ID)
	case h.Slots > maxSlots:
		return fmt.Errorf("%w: %d slots, at most %d", ErrInvalidReport, h.Slots, maxSlots)
	case h.WarmUp < 0 || h.WarmUp > maxWarmUp:
		return fmt.Errorf("%w: warm-up of %v, at most %v", ErrInvalidReport, h.WarmUp, maxWarmUp)
	case h.Service != n.d.Caller() && !n.table.Load().Serves(h.Service):
		// The configuration that names the VM's own service may come later.
		return fmt.Errorf("%w: service %q is neither that of the VM nor in the configuration", ErrInvalidReport, h.Service)
	}
	return n.checkStart(h.Started)
}

// checkStart returns an error if no process can have started at born.
func (n *Node) checkStart(born int64) error {
	if latest := n.d.Now().Add(maxClockLead).UnixMilli(); born < 0 || born > latest {
		return fmt.Errorf("%w: start %d, not in 0 to %d", ErrInvalidReport, born, latest)
	}
	return nil
}

// displacedServer records a process of the backend server that is heard although a later one, or a later heartbeat of
// it, has been accepted.
type displacedServer struct {
	id    string
	born  int64
	seq   int64
	since time.Time // on the steady clock
}

// heard records a heartbeat that counts as late beside cur, and reports whether its process is in use again: it goes on
// being heard and cur is not, so that cur was reported by another writer. The caller holds Node.mu.
func (d *displacedServer) heard(h *Heartbeat, cur *localServer, now time.Time) bool {
	if d.id != h.ID || d.born != h.Started {
		*d = displacedServer{id: h.ID, born: h.Started, seq: h.Seq, since: now}
		return false
	}
	if h.Seq <= d.seq {
		return false
	}
	d.seq = h.Seq
	return !cur.leaving && now.Sub(d.since) >= displacedTime && now.Sub(cur.heard) >= displacedTime
}
