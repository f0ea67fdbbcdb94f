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

// Spec is the distributed form of a table. It must not be modified after a Table was made from it.
type Spec struct {
	Version  ident.Version
	Routes   []Route
	Services []Service
	Accounts []Account
	// KeyRequired means that calls need the key of an account even if Accounts is empty, as it is once the last account was
	// removed. With accounts they need one in any case.
	KeyRequired bool
	Limits      Limits
}

// Limits limits the size of a caller's requests and how long a connection may take to send a header or stay
// idle.
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
	Conns      int // maximum number of connections to one backend server; zero: not limited
}

// Table is the immutable set of routes of one configuration Version.
type Table struct {
	spec     Spec
	services map[ident.ServiceID]Service
	hosts    map[string][]*WeightedRoute // longest prefix first
	accounts accountIndex
	large    bool // a route has large answers
}

// New returns the Table for spec. The error lists all errors in spec.
func New(spec Spec) (*Table, error) {
	t := &Table{spec: spec, services: map[ident.ServiceID]Service{}, hosts: map[string][]*WeightedRoute{}}
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
		if err := r.validate(t.services); err != nil {
			errs = append(errs, fmt.Errorf("route %s: %w", r.ID, err))
			continue
		}
		host := canonicalHost(r.Host)
		if other, ok := seen[host+r.Prefix]; ok {
			errs = append(errs, fmt.Errorf("route %s: host and prefix are those of route %s", r.ID, other))
			continue
		}
		seen[host+r.Prefix] = r.ID
		t.large = t.large || r.Large
		t.hosts[host] = append(t.hosts[host], newWeightedRoute(r))
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *WeightedRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	accounts, accountErrs := newAccountIndex(spec.Accounts)
	t.accounts, errs = accounts, append(errs, accountErrs...)
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

// HasLargeAnswers reports whether a route has large answers; false for a nil Table.
func (t *Table) HasLargeAnswers() bool { return t != nil && t.large }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Serves reports whether the configuration names the service; false for a nil Table.
func (t *Table) Serves(id ident.ServiceID) bool {
	if t == nil {
		return false
	}
	_, ok := t.services[id]
	return ok
}

// Find returns the route of host with the longest prefix that matches path.
func (t *Table) Find(host, path string) (*WeightedRoute, bool) {
	for _, c := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, c.Prefix) {
			return c, true
		}
	}
	return nil, false
}

// canonicalHost removes the port from a host and converts it to lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
