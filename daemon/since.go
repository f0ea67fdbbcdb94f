package daemon

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// activation records when the Version in force came into force.
type activation struct {
	mu      sync.Mutex
	version ident.Version
	time    time.Time
}

// observe records a change of the Version in force. The time of the first Version of a process is
// unknown, because it may have been accepted long before.
func (a *activation) observe(old, cur *agree.Agreement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version, a.time = cur.Version(), time.Time{}
	if old.Version() > 0 {
		a.time = time.Now().UTC()
	}
}

// timeOf returns the time at which version came into force, or zero if it is not known.
func (a *activation) timeOf(version ident.Version) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.version != version {
		return time.Time{}
	}
	return a.time
}
