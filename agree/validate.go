package agree

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Limits of the values in an agreement.
const (
	MaxUnits   ident.Units = 1_000_000
	MaxTimeout             = 4 * time.Hour
	// MaxShortTimeout limits the timeout of short routes, because the units of an
	// unreachable holder stay reserved that long.
	MaxShortTimeout = 5 * time.Second
)

// idPattern excludes "/", which separates the parts of a Key.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Validate returns all problems of rows, including references between rows, in the order of
// their keys.
func Validate(rows map[Key]*Row) Problems {
	var ps Problems
	prefixes := map[string]Key{}
	for _, k := range sortedKeys(rows) {
		texts := checkRow(rows, rows[k])
		if rows[k].Kind == KindRoute {
			texts = append(texts, checkPrefix(rows[k], prefixes)...)
		}
		for _, text := range texts {
			ps = append(ps, Problem{Key: k, Text: text})
		}
	}
	return ps
}

// allValid reports whether every row passes checkRow. It does not detect two routes of a
// member with the same prefix. Unlike Validate, it allocates nothing for valid rows.
func allValid(rows map[Key]*Row) bool {
	for _, r := range rows {
		if len(checkRow(rows, r)) > 0 {
			return false
		}
	}
	return true
}

func checkRow(rows map[Key]*Row, r *Row) []string {
	switch r.Kind {
	case KindMember:
		return checkID("member", string(r.Member))
	case KindService:
		return checkID("service", string(r.Service))
	case KindCap:
		return checkCap(rows, r)
	case KindRoute:
		return checkRoute(rows, r)
	default:
		return []string{fmt.Sprintf("unknown kind %q", r.Kind)}
	}
}

func checkID(what, id string) []string {
	if idPattern.MatchString(id) {
		return nil
	}
	return []string{fmt.Sprintf("%s id %q must be 1 to 63 letters, digits, dots, dashes or underscores", what, id)}
}

func checkRefs(rows map[Key]*Row, r *Row) []string {
	var out []string
	if _, ok := rows[Key("member/"+r.Member)]; !ok {
		out = append(out, fmt.Sprintf("unknown member %q", r.Member))
	}
	if _, ok := rows[Key("service/"+r.Service)]; !ok {
		out = append(out, fmt.Sprintf("unknown service %q", r.Service))
	}
	return out
}

func checkCap(rows map[Key]*Row, r *Row) []string {
	out := checkRefs(rows, r)
	if r.Units < 1 || r.Units > MaxUnits {
		out = append(out, fmt.Sprintf("units %d must be from 1 to %d", r.Units, MaxUnits))
	}
	return out
}

func checkRoute(rows map[Key]*Row, r *Row) []string {
	out := append(checkID("route", string(r.Route)), checkRefs(rows, r)...)
	if _, ok := rows[CapKey(r.Member, r.Service)]; !ok {
		out = append(out, fmt.Sprintf("member %q has no cap in service %q", r.Member, r.Service))
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		out = append(out, fmt.Sprintf("prefix %q must begin with /", r.Prefix))
	}
	if r.Class != Short && r.Class != Long {
		out = append(out, fmt.Sprintf("class %q must be short or long", r.Class))
	}
	switch r.Repeat {
	case RepeatByMethod, RepeatIdempotent, RepeatOnce:
	default:
		out = append(out, fmt.Sprintf("repeat %q must be method, idempotent or once", r.Repeat))
	}
	return append(out, checkTimeout(r)...)
}

// checkPrefix returns a problem if an earlier route of the member has the same prefix, and
// records the key of r in prefixes.
func checkPrefix(r *Row, prefixes map[string]Key) []string {
	memberPrefix := string(r.Member) + " " + r.Prefix
	other, ok := prefixes[memberPrefix]
	prefixes[memberPrefix] = r.Key()
	if !ok {
		return nil
	}
	return []string{fmt.Sprintf("prefix %q is also that of %s", r.Prefix, other)}
}

func checkTimeout(r *Row) []string {
	limit := MaxTimeout
	if r.Class == Short {
		limit = MaxShortTimeout
	}
	if r.Timeout <= 0 || r.Timeout > limit {
		return []string{fmt.Sprintf("timeout %s of %s work must be above 0 and at most %s", r.Timeout, r.Class, limit)}
	}
	return nil
}
