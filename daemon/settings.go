package daemon

import (
	"net"
	"net/url"
	"time"

	"github.com/marjoramcroft/marjoramcroft/config"
	"github.com/marjoramcroft/marjoramcroft/guard"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/proxy"
)

// Settings holds the settings of a daemon. Each exported field is a key of the settings file.
type Settings struct {
	Listen ListenConfig
	Place  PlaceConfig
	Store  StoreConfig
	Peers  PeersConfig
	Server ServerConfig
	Stop   StopConfig
	VM     VMConfig
	Limits LimitsConfig
	Log    LogConfig
}

// ListenConfig holds the daemon's addresses. Other daemons connect to them, so they must be addresses
// of the VM and not wildcards.
type ListenConfig struct {
	HTTP    string `help:"HOST:PORT for callers, other daemons and the backend server (HTTP)"`
	Control string `help:"HOST:PORT for control messages between daemons (TCP)"`
}

// PlaceConfig holds the location of the VM.
type PlaceConfig struct {
	Region     string `help:"region of the VM"`
	DataCentre string `help:"data centre of the VM"`
}

// StoreConfig configures access to the platform's store.
type StoreConfig struct {
	Endpoint string        `help:"URL of the store"`
	Region   string        `help:"region in which the store is"`
	Timeout  time.Duration `help:"deadline of one call to the store"`
}

// PeersConfig holds initial contacts, which are used if the store cannot be reached.
type PeersConfig struct {
	Contacts []string `help:"control addresses of daemons in the same data centre"`
}

// ServerConfig configures how the daemon treats the backend server beside it.
type ServerConfig struct {
	Service   string        `help:"service of the backend server; empty: as first announced"`
	GoneAfter time.Duration `help:"time without an announcement after which the backend server is gone"`
}

// StopConfig holds the time limits of a graceful stop.
type StopConfig struct {
	Notice  time.Duration `help:"time between the announcement of the drain and the refusal of new calls"`
	Timeout time.Duration `help:"longest wait for calls in flight"`
	// Handover must allow for the election of another keeper, in case this daemon is the keeper.
	Handover time.Duration `help:"longest time to hand key records and units over"`
}

// VMConfig describes what the process may take of its VM.
type VMConfig struct {
	MemoryMB int `help:"memory that the process may take, in MB; a quarter of it is for connections, a sixteenth for headers"`
	MaxFiles int `help:"file descriptors that the process may open; 0: the limit of the process"`
}

// LimitsConfig bounds what a client may send, and how long it may take.
type LimitsConfig struct {
	HeaderBytes   int           `help:"longest header of a request, in bytes"`
	HeaderTimeout time.Duration `help:"time in which a header arrives, from its first byte"`
	IdleTimeout   time.Duration `help:"time for which a connection stays open while nothing arrives; above 30s, for which other daemons keep theirs"`
}

// LogConfig configures the log.
type LogConfig struct {
	Level string `help:"lowest level that is written: debug, info, warn or error"`
}

const (
	// minHeaderBytes is above the headers that daemons add, and maxHeaderBytes the default limit of net/http.
	minHeaderBytes = 4 << 10
	maxHeaderBytes = 1 << 20
	// minMemoryMB is what a daemon with a small agreement takes itself.
	minMemoryMB = 32
)

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Listen: ListenConfig{HTTP: "127.0.0.1:7400", Control: "127.0.0.1:7401"},
		Place:  PlaceConfig{Region: "local", DataCentre: "local-a"},
		Store:  StoreConfig{Endpoint: "http://127.0.0.1:2379", Region: "local", Timeout: 2 * time.Second},
		Server: ServerConfig{GoneAfter: 3 * time.Second},
		Stop:   StopConfig{Notice: time.Second, Timeout: 4 * time.Minute, Handover: 10 * time.Second},
		VM:     VMConfig{MemoryMB: 512},
		Limits: LimitsConfig{HeaderBytes: guard.DefaultHeaderBytes, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute},
		Log:    LogConfig{Level: "info"},
	}
}

// Check returns all problems found in the settings.
func (s *Settings) Check() []config.Problem {
	var ps []config.Problem
	for name, addr := range map[string]string{"Listen.HTTP": s.Listen.HTTP, "Listen.Control": s.Listen.Control} {
		ps = append(ps, checkAddr(name, addr)...)
	}
	for name, text := range map[string]string{
		"Place.Region": s.Place.Region, "Place.DataCentre": s.Place.DataCentre, "Store.Region": s.Store.Region,
	} {
		if text == "" {
			ps = append(ps, config.Problemf(name, "must not be empty"))
		}
	}
	u, err := url.Parse(s.Store.Endpoint)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		ps = append(ps, config.Problemf("Store.Endpoint", "%q is not an http or https URL", s.Store.Endpoint))
	}
	for _, c := range s.Peers.Contacts {
		ps = append(ps, checkAddr("Peers.Contacts", c)...)
	}
	for name, d := range map[string]time.Duration{
		"Store.Timeout": s.Store.Timeout, "Server.GoneAfter": s.Server.GoneAfter, "Stop.Timeout": s.Stop.Timeout,
		"Stop.Handover": s.Stop.Handover, "Limits.HeaderTimeout": s.Limits.HeaderTimeout,
	} {
		if d <= 0 {
			ps = append(ps, config.Problemf(name, "%s must be above 0", d))
		}
	}
	if s.Stop.Notice < 0 {
		ps = append(ps, config.Problemf("Stop.Notice", "%s must not be negative", s.Stop.Notice))
	}
	if s.Limits.IdleTimeout <= proxy.HopIdleTimeout {
		ps = append(ps, config.Problemf("Limits.IdleTimeout", "%s must be above %s, for which other daemons keep connections", s.Limits.IdleTimeout, proxy.HopIdleTimeout))
	}
	if s.Limits.HeaderBytes < minHeaderBytes || s.Limits.HeaderBytes > maxHeaderBytes {
		ps = append(ps, config.Problemf("Limits.HeaderBytes", "%d must be from %d to %d", s.Limits.HeaderBytes, minHeaderBytes, maxHeaderBytes))
	}
	if s.VM.MemoryMB < minMemoryMB {
		ps = append(ps, config.Problemf("VM.MemoryMB", "%d must be at least %d", s.VM.MemoryMB, minMemoryMB))
	}
	if s.VM.MaxFiles < 0 {
		ps = append(ps, config.Problemf("VM.MaxFiles", "%d must not be negative", s.VM.MaxFiles))
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		ps = append(ps, config.Problemf("Log.Level", "%q must be debug, info, warn or error", s.Log.Level))
	}
	return ps
}

// vm returns what the process may take of its VM.
func (s *Settings) vm() guard.VM {
	return guard.VM{Memory: int64(s.VM.MemoryMB) << 20, Files: int64(s.VM.MaxFiles)}
}

func checkAddr(name, addr string) []config.Problem {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || port == "" {
		return []config.Problem{config.Problemf(name, "%q is not HOST:PORT", addr)}
	}
	if ip := net.ParseIP(host); ip == nil || ip.IsUnspecified() {
		return []config.Problem{config.Problemf(name, "%q must have the IP address at which other daemons reach this VM", addr)}
	}
	return nil
}

func (s *Settings) place() ident.Place {
	return ident.Place{Region: ident.Region(s.Place.Region), DataCentre: ident.DataCentre(s.Place.DataCentre)}
}
