package emul

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// BackendConfig configures a Backend. Zero values mean the defaults of DefaultBackend,
// except where noted.
type BackendConfig struct {
	Service          ident.ServiceID
	Addr             string        // listen address, "127.0.0.1:0" by default
	Announce         ident.Addr    // HTTP address of the daemon beside the backend server; empty: no announcements
	AnnounceInterval time.Duration // interval of the announcements
	// Anonymous leaves the incarnation out of the announcements.
	Anonymous bool
	Seed      uint64

	Slots ident.Units // max. concurrent calls
	Conns int         // max. open connections
	Queue int         // max. calls that wait for a slot, further ones are shed; zero: none

	ShortTime time.Duration // mean service time; exponentially distributed above half of it
	LongTime  time.Duration // mean service time below LongPath
	LongPath  string

	StartTime  time.Duration // time in state Starting after a start; zero: none
	ColdTime   time.Duration // after StartTime; service times fall from ColdFactor to 1; zero: none
	ColdFactor float64       // multiplies the service times at the beginning of ColdTime
	Restart    time.Duration // delay between a crash and the next start

	LoadDelay  time.Duration // age of the load reports; zero: current
	LoadFactor float64       // multiplies the reported load, which makes the reports misleading

	// Observe is called with 1 when a call of a member starts to run and with -1 when it
	// ends; it may be nil.
	Observe func(member ident.MemberID, delta int) `json:"-"`

	// Guard returns the listener of each process's server instead of ln, and may set the server's hooks; nil: ln.
	Guard func(s *http.Server, ln net.Listener) net.Listener `json:"-"`

	// Listen and Dial replace TCP; nil: TCP.
	Listen func(addr string) (net.Listener, error)                           `json:"-"`
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error) `json:"-"`
}

// DefaultBackend returns the configuration of a backend server of the school deployment.
func DefaultBackend() BackendConfig {
	return BackendConfig{
		Service:          "lessons",
		Addr:             "127.0.0.1:0",
		AnnounceInterval: time.Second,
		Slots:            9,
		Conns:            120,
		ShortTime:        4 * time.Millisecond,
		LongTime:         400 * time.Millisecond,
		LongPath:         "/long",
		ColdFactor:       4,
		Restart:          200 * time.Millisecond,
		LoadFactor:       1,
	}
}

// withDefaults fills in the fields that have no valid zero value.
func (c BackendConfig) withDefaults() BackendConfig {
	d := DefaultBackend()
	setIfZero(&c.Service, d.Service)
	setIfZero(&c.Addr, d.Addr)
	setIfZero(&c.AnnounceInterval, d.AnnounceInterval)
	setIfZero(&c.Slots, d.Slots)
	setIfZero(&c.Conns, d.Conns)
	setIfZero(&c.ShortTime, d.ShortTime)
	setIfZero(&c.LongTime, d.LongTime)
	setIfZero(&c.LongPath, d.LongPath)
	setIfZero(&c.ColdFactor, d.ColdFactor)
	setIfZero(&c.Restart, d.Restart)
	setIfZero(&c.LoadFactor, d.LoadFactor)
	if c.Listen == nil {
		c.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: time.Second}).DialContext
	}
	return c
}

func setIfZero[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
