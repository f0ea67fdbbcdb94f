// Package guard limits what the clients of an HTTP listener take of the VM: connections, headers, and the time in which
// they send nothing. The clients are not known, and keep to no limits.
package guard

import (
	"net"
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// Config holds the limits of one listener.
type Config struct {
	// Name is that of the listener in counters and log events.
	Name string
	// Conns limits the connections; zero: no limit.
	Conns int64
	// HeaderBytes returns the limit of a header that is in force; nil: headers are not limited.
	HeaderBytes func() int
	// HeaderMemory limits the memory of the headers that are being read, in bytes.
	HeaderMemory int64
	// HeaderTimeout returns the limit of the time in which a header arrives, from its first byte.
	HeaderTimeout func() time.Duration
	// IdleTimeout returns the limit of the time for which a connection stays open while nothing arrives.
	IdleTimeout func() time.Duration
	// Transfers are those of the connections, of which slow ones are cut when there are too many connections; nil: none are.
	Transfers *Transfers
	// RefusalFields are further header lines of a refusal for want of memory or connections, each with its line end.
	RefusalFields string
}

// Guard enforces the limits of one listener. Its methods are safe for concurrent use.
type Guard struct {
	headerTimeout func() time.Duration
	heads         *heads // nil: headers are not limited
	gate          *gate  // nil: connections are not limited
	closer        *closer
}

// New returns a Guard. Listener, Install and Run put it to use.
func New(cfg Config, log *event.Log, set *stats.Set) *Guard {
	limited := newLimitLog(cfg.Name, log, set)
	g := &Guard{headerTimeout: cfg.HeaderTimeout, closer: newCloser(cfg.Name, cfg.IdleTimeout, set)}
	if cfg.HeaderBytes != nil {
		g.heads = &heads{full: fullAnswer(cfg.RefusalFields), bytes: cfg.HeaderBytes, memory: origin.NewBodyBudget(cfg.HeaderMemory), log: limited}
	}
	if cfg.Conns > 0 {
		g.gate = &gate{full: fullAnswer(cfg.RefusalFields), transfers: cfg.Transfers, limit: cfg.Conns, closer: g.closer, log: limited}
	}
	return g
}

// Listener returns a listener that accepts the connections of ln within the limits.
func (g *Guard) Listener(ln net.Listener) net.Listener {
	return listener{Listener: ln, headerTimeout: g.headerTimeout, heads: g.heads, gate: g.gate}
}

// Install sets the hooks of s, which serves the connections of Listener.
func (g *Guard) Install(s *http.Server) {
	s.ConnState, s.ConnContext = g.closer.connState, withConn
}

// Run closes the connections that exceed a timeout until stop is closed.
func (g *Guard) Run(stop <-chan struct{}) { g.closer.run(stop) }

// CloseExpired closes the connections that have exceeded a timeout at now.
func (g *Guard) CloseExpired(now time.Time) { g.closer.closeExpired(now) }

// CloseIdle closes the idle connections, and returns the number of connections that have not ended yet.
func (g *Guard) CloseIdle() int { return g.closer.closeIdle() }

// Open returns the number of connections that are open; zero if they are not limited.
func (g *Guard) Open() int64 {
	if g.gate == nil {
		return 0
	}
	return g.gate.open.Load()
}

// HeaderMemory returns the memory of the headers that are being read, in bytes.
func (g *Guard) HeaderMemory() int64 {
	if g.heads == nil {
		return 0
	}
	return g.heads.memory.Used()
}

// WithoutRequest returns the number of connections on which no request is in progress, and how many of them have sent a
// part of a header.
func (g *Guard) WithoutRequest() (all, inHeader int) { return g.closer.withoutRequest() }
