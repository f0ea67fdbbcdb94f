package table

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Route maps requests with a host and path prefix to one or more services.
type Route struct {
	ID         ident.RouteID
	Host       string
	Prefix     string // begins and ends with a slash
	Parts      []WeightedService
	Idempotent bool          // a request may run more than once
	Timeout    time.Duration // how long a caller may wait at most
	Goal       time.Duration // target time for an answer
	Priority   int           // zero is the highest priority
	Attempts   int           // maximum number of backend servers to which a request is sent
	Public     bool          // a request needs no key of an account
	Large      bool          // answers may be much larger than those of other routes
}

// WeightedService is the share of a route's requests that is sent to a service.
type WeightedService struct {
	Service ident.ServiceID
	Weight  int
}

func (r *Route) validate(services map[ident.ServiceID]Service) error {
	var errs []error
	add := func(bad bool, text string) {
		if bad {
			errs = append(errs, errors.New(text))
		}
	}
	add(r.Host == "", "no host")
	add(!strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"), "prefix does not begin and end with a slash")
	add(r.Timeout <= 0, "timeout is not above 0")
	add(len(r.Parts) == 0, "no service")
	total := 0
	for _, p := range r.Parts {
		add(p.Weight < 0, fmt.Sprintf("weight of service %s is below 0", p.Service))
		total += p.Weight
		if _, ok := services[p.Service]; !ok {
			errs = append(errs, fmt.Errorf("service %s is unknown", p.Service))
		}
	}
	add(len(r.Parts) > 0 && total <= 0, "weights have the sum 0")
	return errors.Join(errs...)
}
