package table

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Route leads requests to services.
type Route struct {
	ID         ident.RouteID
	Host       string
	Prefix     string // begins and ends with a slash
	Parts      []Part
	Idempotent bool          // a request may run more than once
	Timeout    time.Duration // longest time that a caller is kept waiting
	Goal       time.Duration // time within which an answer has its full worth
	Priority   int           // zero is the highest
	Attempts   int           // backend servers to which one request may be sent
}

// Part is the share of a route's requests that goes to a service.
type Part struct {
	Service ident.ServiceID
	Weight  int
}

func (r *Route) check(services map[ident.ServiceID]Service) error {
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
