package mesh

import (
	"errors"
	"slices"
	"time"
)

const (
	// departureTTL is how long a departure is kept. It exceeds the longest delay of a heartbeat, which a partition
	// can hold up until its connection times out.
	departureTTL = 10 * time.Minute
	// maxDepartures limits the departures that are kept. A VM has one backend server at a time, and the first
	// heartbeat of a process removes those of the processes before it.
	maxDepartures = 32
	// departureWait is how long the acknowledgement of a departure waits for the store. It is half of the time in
	// which a backend server expects it, and more than a call to a slow store takes.
	departureWait = 500 * time.Millisecond
)

var errTooManyDepartures = errors.New("too many backend servers reported that they leave without a heartbeat")

// departure is a process of a backend server that reported that it is draining or gone. That is final.
type departure struct {
	ID   string
	Born int64 // as in Server
	// Earlier means that the report did not state the start of its process. Born is the time of the report instead,
	// and each process of ID that started until then left.
	Earlier bool `msgpack:",omitempty"`
}

// covers reports whether d implies x.
func (d departure) covers(x departure) bool {
	return d == x || (d.Earlier && d.ID == x.ID && x.Born <= d.Born)
}

// departures holds processes of backend servers that left, so that their late heartbeats are recognised. A process
// may be unknown to the daemon when it leaves. It is not safe for concurrent use.
type departures struct {
	list []keptDeparture
}

type keptDeparture struct {
	departure
	since time.Time // on the steady clock
}

// add keeps x, and reports whether it adds to what is known. It fails if there are too many.
func (d *departures) add(x departure) (bool, error) {
	d.list = slices.DeleteFunc(d.list, func(k keptDeparture) bool { return time.Since(k.since) > departureTTL })
	for i := range d.list {
		if d.list[i].covers(x) {
			d.list[i].since = time.Now()
			return false, nil
		}
	}
	d.list = slices.DeleteFunc(d.list, func(k keptDeparture) bool { return x.covers(k.departure) })
	if len(d.list) >= maxDepartures {
		return false, errTooManyDepartures
	}
	d.list = append(d.list, keptDeparture{departure: x, since: time.Now()})
	return true, nil
}

// has reports whether x left.
func (d *departures) has(x departure) bool {
	return slices.ContainsFunc(d.list, func(k keptDeparture) bool {
		return k.covers(x) && time.Since(k.since) <= departureTTL
	})
}

// processes returns the processes that left.
func (d *departures) processes() []departure {
	var out []departure
	for _, k := range d.list {
		if time.Since(k.since) <= departureTTL {
			out = append(out, k.departure)
		}
	}
	return out
}

// removeBefore removes the processes that started before born.
func (d *departures) removeBefore(born int64) {
	d.list = slices.DeleteFunc(d.list, func(k keptDeparture) bool { return k.Born < born })
}
