package table

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Spec is a table as it is distributed. It is not modified once a Table was made of it.
type Spec struct {
	Version  ident.Version
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Limits bounds what a caller may send, and how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a set of interchangeable backend servers.
type Service struct {
	ID         ident.ServiceID
	HealthPath string
	Conns      int // connections that one backend server accepts; zero: not limited
}

// Table is an immutable set of routes, one configuration Version.
type Table struct {
	spec     Spec
	services map[ident.ServiceID]Service
	hosts    map[string][]*Choice // longest prefix first
}

// New returns the Table of spec. The error names every fault of it.
func New(spec Spec) (*Table, error) {
	t := &Table{spec: spec, services: map[ident.ServiceID]Service{}, hosts: map[string][]*Choice{}}
	var errs []error
	if spec.Version == 0 {
		errs = append(errs, errors.New("the configuration has no version"))
	}
	for _, s := range spec.Services {
		if s.ID == "" {
			errs = append(errs, errors.New("a service has no name"))
		}
		t.services[s.ID] = s
	}
	seen := map[string]ident.RouteID{}
	for i := range spec.Routes {
		r := &spec.Routes[i]
		if err := r.check(t.services); err != nil {
			errs = append(errs, fmt.Errorf("route %s: %w", r.ID, err))
			continue
		}
		host := canonicalHost(r.Host)
		if other, ok := seen[host+r.Prefix]; ok {
			errs = append(errs, fmt.Errorf("route %s: host and prefix are those of route %s", r.ID, other))
			continue
		}
		seen[host+r.Prefix] = r.ID
		t.hosts[host] = append(t.hosts[host], newChoice(r))
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *Choice) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	if len(errs) > 0 {
		return nil, fmt.Errorf("configuration %d: %w", spec.Version, errors.Join(errs...))
	}
	return t, nil
}

// Version returns the table's Version; zero for a nil Table.
func (t *Table) Version() ident.Version {
	if t == nil {
		return 0
	}
	return t.spec.Version
}

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Find returns the route with the longest prefix that begins path, of the routes of host.
func (t *Table) Find(host, path string) (*Choice, bool) {
	for _, c := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, c.Prefix) {
			return c, true
		}
	}
	return nil, false
}

// canonicalHost drops the port and the case of a host.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
