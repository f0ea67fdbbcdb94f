package audit

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Account is what the logs of some daemons say about calls.
type Account struct {
	Routes   []Route   // by descending number of calls
	Causes   []Cause   // of calls without an answer of a backend server, by descending number
	Attempts []Attempt // by descending number
	Lines    int       // log lines that were used
	Damaged  int       // log lines that could not be read
}

// Route counts how the calls of a route ended.
type Route struct {
	Route       ident.RouteID
	Calls       int
	Answered    int // with a status below 500
	ServerError int // with a status of 500 or above from a backend server
	NotRun      int // refused as not run
	Unknown     int // refused, and may have run
	CallerLeft  int
}

// Cause counts the calls of a route that were refused for the same reason after the same last attempt.
type Cause struct {
	Route       ident.RouteID
	Reason, Ran string
	LastAttempt string // outcome and reason; empty: no server was asked
	Calls       int
}

// Attempt counts the attempts of all calls by distance and outcome.
type Attempt struct {
	Distance string // "data centre", "region", "other region", or "unknown" if the log has no start of both daemons
	Outcome  string
	Attempts int
}

// Collector reads logs and builds an Account.
type Collector struct {
	from, until time.Time // zero: no limit
	routes      map[ident.RouteID]*Route
	causes      map[Cause]int
	attempts    map[attemptKey]int
	places      map[string]ident.Place // by VM and by address for links
	lines       int
	damaged     int
}

// attemptKey identifies attempts that are counted together.
type attemptKey struct{ vm, addr, outcome string }

// New returns a Collector for the log lines from from to until; a zero time means no limit.
func New(from, until time.Time) *Collector {
	return &Collector{
		from: from, until: until, routes: map[ident.RouteID]*Route{}, causes: map[Cause]int{},
		attempts: map[attemptKey]int{}, places: map[string]ident.Place{},
	}
}

// Read reads one log. Text before the first field of a line, such as the name of a VM, is skipped. Lines that cannot
// be read are counted and skipped.
func (c *Collector) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte(" Event=")) {
			continue // not an event of a daemon
		}
		d := logfmt.NewDecoder(bytes.NewReader(lines.Bytes()))
		fields := map[string]string{}
		for d.ScanRecord() {
			for d.ScanKeyval() {
				fields[string(d.Key())] = string(d.Value())
			}
		}
		if d.Err() != nil {
			c.damaged++
			continue
		}
		c.add(fields)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// maxLineBytes limits the length of a log line. Daemons write a few hundred bytes.
const maxLineBytes = 1 << 20

// add counts the event of one log line.
func (c *Collector) add(f map[string]string) {
	id, err := strconv.Atoi(f["Event"])
	if err != nil {
		c.damaged++
		return
	}
	at, err := time.Parse(time.RFC3339, f["time"])
	if err != nil {
		c.damaged++
		return
	}
	if event.ID(id) == event.NodeStarted { // places are needed whatever the time
		p := ident.Place{Region: ident.Region(f["Region"]), DataCentre: ident.DataCentre(f["DataCentre"])}
		c.places[f["VM"]], c.places[f["Links"]] = p, p
		return
	}
	if (!c.from.IsZero() && at.Before(c.from)) || (!c.until.IsZero() && !at.Before(c.until)) {
		return
	}
	switch event.ID(id) {
	case event.CallAnswered, event.CallRefused, event.CallerLeft:
	default:
		return
	}
	c.lines++
	last := c.addAttempts(f["VM"], f["Attempts"])
	c.addOutcome(event.ID(id), f, last)
}

// addOutcome counts how a call ended. last is the outcome of its last attempt.
func (c *Collector) addOutcome(id event.ID, f map[string]string, last string) {
	name := ident.RouteID(f["Route"])
	r := c.routes[name]
	if r == nil {
		r = &Route{Route: name}
		c.routes[name] = r
	}
	r.Calls++
	switch {
	case id == event.CallerLeft:
		r.CallerLeft++
		return
	case id == event.CallAnswered && len(f["Status"]) == 3 && f["Status"] < "500":
		r.Answered++
		return
	case id == event.CallAnswered:
		r.ServerError++
		return
	case f["Ran"] == "no":
		r.NotRun++
	default:
		r.Unknown++
	}
	c.causes[Cause{Route: name, Reason: f["Reason"], Ran: f["Ran"], LastAttempt: last}]++
}

// addAttempts counts the attempts in s, written as ADDR:OUTCOME(REASON)@TIME, and returns the outcome of the last.
func (c *Collector) addAttempts(vm, s string) string {
	last := ""
	if s == "" {
		return last
	}
	for a := range strings.SplitSeq(s, ",") {
		head, _, _ := strings.Cut(a, "@")
		i := strings.LastIndexByte(head, ':')
		if i < 0 {
			c.damaged++
			continue
		}
		last = head[i+1:]
		c.attempts[attemptKey{vm: vm, addr: head[:i], outcome: last}]++
	}
	return last
}

// Account returns the account of all logs read so far.
func (c *Collector) Account() Account {
	a := Account{Lines: c.lines, Damaged: c.damaged}
	for _, r := range c.routes {
		a.Routes = append(a.Routes, *r)
	}
	slices.SortFunc(a.Routes, func(x, y Route) int {
		return cmp.Or(cmp.Compare(y.Calls, x.Calls), cmp.Compare(x.Route, y.Route))
	})
	for cause, n := range c.causes {
		cause.Calls = n
		a.Causes = append(a.Causes, cause)
	}
	slices.SortFunc(a.Causes, func(x, y Cause) int {
		return cmp.Or(cmp.Compare(y.Calls, x.Calls), cmp.Compare(x.Route, y.Route), cmp.Compare(x.Reason, y.Reason), cmp.Compare(x.LastAttempt, y.LastAttempt))
	})
	sums := map[Attempt]int{}
	for k, n := range c.attempts {
		sums[Attempt{Distance: c.distance(k.vm, k.addr), Outcome: k.outcome}] += n
	}
	for k, n := range sums {
		k.Attempts = n
		a.Attempts = append(a.Attempts, k)
	}
	slices.SortFunc(a.Attempts, func(x, y Attempt) int {
		return cmp.Or(cmp.Compare(y.Attempts, x.Attempts), cmp.Compare(x.Distance, y.Distance), cmp.Compare(x.Outcome, y.Outcome))
	})
	return a
}

// distance names the distance between a VM and the daemon at addr.
func (c *Collector) distance(vm, addr string) string {
	a, okA := c.places[vm]
	b, okB := c.places[addr]
	if !okA || !okB {
		return "unknown"
	}
	return [...]string{"data centre", "region", "other region"}[a.Distance(b)]
}
