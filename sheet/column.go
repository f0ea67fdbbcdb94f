package sheet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// column describes one column: the kinds of rows that use it, and how its cells are parsed
// and formatted.
type column struct {
	name     string
	kinds    []agree.Kind
	required bool // whether rows of these kinds need a value
	read     func(r *agree.Row, cell string) error
	write    func(r agree.Row) string
}

var allKinds = []agree.Kind{agree.KindMember, agree.KindService, agree.KindCap, agree.KindRoute}

// columns lists all columns in the order in which they are exported.
var columns = []column{
	{
		"Kind", allKinds, true,
		func(r *agree.Row, cell string) error {
			r.Kind = agree.Kind(strings.ToLower(cell))
			if !slices.Contains(allKinds, r.Kind) {
				return fmt.Errorf("kind %q must be member, service, cap or route", cell)
			}
			return nil
		},
		func(r agree.Row) string { return string(r.Kind) },
	},
	{
		"Member",
		[]agree.Kind{agree.KindMember, agree.KindCap, agree.KindRoute},
		true,
		func(r *agree.Row, cell string) error { r.Member = ident.MemberID(cell); return nil },
		func(r agree.Row) string { return string(r.Member) },
	},
	{
		"Service",
		[]agree.Kind{agree.KindService, agree.KindCap, agree.KindRoute},
		true,
		func(r *agree.Row, cell string) error { r.Service = ident.ServiceID(cell); return nil },
		func(r agree.Row) string { return string(r.Service) },
	},
	{
		"Route",
		[]agree.Kind{agree.KindRoute},
		true,
		func(r *agree.Row, cell string) error { r.Route = ident.RouteID(cell); return nil },
		func(r agree.Row) string { return string(r.Route) },
	},
	{
		"Units",
		[]agree.Kind{agree.KindCap},
		true,
		func(r *agree.Row, cell string) error {
			n, err := strconv.Atoi(cell)
			if err != nil {
				return fmt.Errorf("units %q must be a whole number", cell)
			}
			r.Units = ident.Units(n)
			return nil
		},
		func(r agree.Row) string { return strconv.Itoa(int(r.Units)) },
	},
	{
		"Prefix",
		[]agree.Kind{agree.KindRoute},
		true,
		func(r *agree.Row, cell string) error { r.Prefix = cell; return nil },
		func(r agree.Row) string { return r.Prefix },
	},
	{
		"Class",
		[]agree.Kind{agree.KindRoute},
		false,
		func(r *agree.Row, cell string) error { r.Class = agree.Class(strings.ToLower(cell)); return nil },
		func(r agree.Row) string { return string(r.Class) },
	},
	{
		"Repeat",
		[]agree.Kind{agree.KindRoute},
		false,
		func(r *agree.Row, cell string) error { r.Repeat = agree.Repeat(strings.ToLower(cell)); return nil },
		func(r agree.Row) string { return string(r.Repeat) },
	},
	{
		"Timeout",
		[]agree.Kind{agree.KindRoute},
		false,
		func(r *agree.Row, cell string) error {
			d, err := time.ParseDuration(cell)
			if err != nil {
				return fmt.Errorf("timeout %q must be a duration with its unit, such as 2s or 500ms", cell)
			}
			r.Timeout = d
			return nil
		},
		func(r agree.Row) string { return r.Timeout.String() },
	},
}

// findColumn returns the index in columns of the column with the name, ignoring case, or -1.
func findColumn(name string) int {
	return slices.IndexFunc(columns, func(c column) bool { return strings.EqualFold(c.name, name) })
}

func columnNames() string {
	names := make([]string, 0, len(columns))
	for _, c := range columns {
		names = append(names, c.name)
	}
	return strings.Join(names, ", ")
}
