package quota

import (
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// allocation is the share of one holder in a member's floating units.
type allocation struct {
	committed ident.Units // upper bound of the units that the holder uses
	granted   ident.Units // limit in the last Grant
	want      ident.Units
	waits     bool // wanted more than the last Grant gave, and no Free was queued since
}

// pinKey identifies a pin of a process of a holder.
type pinKey struct {
	addr        ident.Addr
	incarnation ident.Incarnation
	id          uint64
}

// staleUse is the use of units by an earlier process of a holder.
type staleUse struct {
	units ident.Units
	until time.Duration
}

// unitPool tracks the floating units of one member.
type unitPool struct {
	allocs map[ident.Addr]*allocation
	pins   map[pinKey]time.Duration // with their expiry
	stale  []staleUse
}

func newUnitPool() *unitPool {
	return &unitPool{allocs: map[ident.Addr]*allocation{}, pins: map[pinKey]time.Duration{}}
}

// expire deletes what has expired by now and reports whether the pool is empty. Units of a
// holder that has been silent for silentTimeout are free again.
func (p *unitPool) expire(now time.Duration, lastExchange func(ident.Addr) (time.Duration, bool)) bool {
	for addr, alloc := range p.allocs {
		if at, ok := lastExchange(addr); !ok || now-at > withClockTolerance(silentTimeout) || *alloc == (allocation{}) {
			delete(p.allocs, addr)
		}
	}
	for k, until := range p.pins {
		if now > until {
			delete(p.pins, k)
		}
	}
	p.stale = slices.DeleteFunc(p.stale, func(u staleUse) bool { return now > u.until })
	return len(p.allocs) == 0 && len(p.pins) == 0 && len(p.stale) == 0
}

// fixed returns the units that cannot move to another holder: pins and the use of earlier
// processes.
func (p *unitPool) fixed() ident.Units {
	n := ident.Units(len(p.pins))
	for _, u := range p.stale {
		n += u.units
	}
	return n
}

// committedByOthers returns the units committed to holders other than addr.
func (p *unitPool) committedByOthers(addr ident.Addr) ident.Units {
	var n ident.Units
	for a, alloc := range p.allocs {
		if a != addr {
			n += alloc.committed
		}
	}
	return n
}
