package emul

import (
	"fmt"
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/fanout"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// Fleet runs the control plane of many daemons, each with one backend server, over a
// Network and a Platform. The store runs in the first of the places.
type Fleet struct {
	Net      *Network
	Platform *Platform
	Stats    *stats.Set
	Log      *event.Log
	// Trace is called with each request and notice that arrives and the size of its
	// body; it may be nil. Calls are serialised.
	Trace func(to ident.Addr, t wire.Type, bytes int)
	// Served is called for each Version that a daemon starts to serve; it may be nil.
	Served func(addr ident.Addr, old, cur *agree.Agreement)
	// Limits apply to all forwarders.
	Limits fanout.Limits
	// NoContacts starts the daemons without configured contacts.
	NoContacts bool
	// Baseline replaces the distribution with the baseline, in which every daemon watches the
	// store and loads the full state.
	Baseline bool

	mu      sync.Mutex
	tamper  Tamper
	delay   func(from ident.Addr, t wire.Type, done bool) time.Duration
	daemons []*Daemon
	starts  uint64
}

// Tamper returns the updates that a daemon handles in place of one that arrives. Calls are
// serialised.
type Tamper func(to ident.Addr, t wire.Type, body []byte) [][]byte

// SetTamper sets the function that replaces arriving updates; nil removes it.
func (f *Fleet) SetTamper(t Tamper) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tamper = t
}

// SetDelay sets the function that returns how long a daemon takes to receive an update from
// another. It is called again with done set when the update has been handled.
func (f *Fleet) SetDelay(delay func(from ident.Addr, t wire.Type, done bool) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// delayUpdate delays an update and returns the function to call when it has been handled.
func (f *Fleet) delayUpdate(from ident.Addr, t wire.Type) func() {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	if delay == nil {
		return func() {}
	}
	time.Sleep(delay(from, t, false))
	return func() { delay(from, t, true) }
}

func (f *Fleet) applyTamper(to ident.Addr, t wire.Type, body []byte) [][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tamper == nil {
		return [][]byte{body}
	}
	return f.tamper(to, t, body)
}

// NewFleet returns a Fleet of n daemons that are distributed evenly over the places and, within
// each place, over the services. Start starts them.
func NewFleet(n int, places []ident.Place, services int) *Fleet {
	f := &Fleet{Net: NewNetwork(), Stats: stats.New(), Log: event.Discard()}
	f.Platform = NewPlatform(f.Net, places[0])
	for i := range n {
		f.daemons = append(f.daemons, &Daemon{
			Addr:    ident.Addr(fmt.Sprintf("10.%d.%d.%d:7001", i%len(places), i/len(places)/250, i/len(places)%250+1)),
			Place:   places[i%len(places)],
			Service: ident.ServiceID(fmt.Sprintf("service-%d", i/len(places)%services)),
			f:       f, index: i,
		})
	}
	return f
}

// Daemons returns all daemons.
func (f *Fleet) Daemons() []*Daemon { return f.daemons }

// Start starts all daemons.
func (f *Fleet) Start() {
	for _, d := range f.daemons {
		d.Start()
	}
}

// Stop kills all daemons and waits for them and for calls in flight.
func (f *Fleet) Stop() {
	for _, d := range f.daemons {
		d.Kill()
	}
	time.Sleep(time.Second)
}

// Converged reports whether all running daemons serve v.
func (f *Fleet) Converged(v ident.Version) bool {
	for _, d := range f.daemons {
		if d.Running() && d.Version() != v {
			return false
		}
	}
	return true
}

// contacts returns the first three daemons of each data centre, as settings would list them.
func (f *Fleet) contacts() map[ident.DataCentre][]ident.Addr {
	out := map[ident.DataCentre][]ident.Addr{}
	if f.NoContacts {
		return out
	}
	for _, d := range f.daemons {
		dc := d.Place.DataCentre
		if len(out[dc]) < 3 {
			out[dc] = append(out[dc], d.Addr)
		}
	}
	return out
}

// Daemon returns the daemon at addr; nil if there is none.
func (f *Fleet) Daemon(addr ident.Addr) *Daemon {
	for _, d := range f.daemons {
		if d.Addr == addr {
			return d
		}
	}
	return nil
}
