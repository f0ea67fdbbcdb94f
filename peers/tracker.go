package peers

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// trackerShards is the number of shards, each with its own lock.
const trackerShards = 16

// tracker records when a forwarder last heard from each daemon of its data centre: through
// heartbeats, or through the digests of the sibling that the daemon is connected to.
type tracker struct {
	last   atomic.Int64 // Unix time in ns of the last message from any daemon; zero if none
	shards [trackerShards]trackerShard
}

type trackerShard struct {
	mu    sync.Mutex
	heard map[ident.Addr]contactRecord
}

// contactRecord is the last contact with a daemon.
type contactRecord struct {
	at       time.Time
	observed bool // false if at is only the time when tracking began
}

func newTracker() *tracker {
	t := &tracker{}
	for i := range t.shards {
		t.shards[i].heard = map[ident.Addr]contactRecord{}
	}
	return t
}

func (t *tracker) shard(a ident.Addr) *trackerShard {
	return &t.shards[xxhash.Sum64String(string(a))%trackerShards]
}

func (t *tracker) markHeard(a ident.Addr) {
	t.markContact()
	sh := t.shard(a)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.heard[a] = contactRecord{at: time.Now(), observed: true}
}

// silence returns the time since a was last heard from, or since the first call for a.
func (t *tracker) silence(a ident.Addr) time.Duration {
	sh := t.shard(a)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	last, ok := sh.heard[a]
	if !ok {
		sh.heard[a] = contactRecord{at: time.Now()}
		return 0
	}
	return time.Since(last.at)
}

// hears reports whether a was heard from in the last suspectAfter. The start of tracking
// does not count.
func (t *tracker) hears(a ident.Addr) bool {
	sh := t.shard(a)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	last, ok := sh.heard[a]
	return ok && last.observed && time.Since(last.at) <= suspectAfter
}

// markContact records a message from any daemon, also one of another data centre: the last
// daemon of a data centre is not partitioned while it hears from others.
func (t *tracker) markContact() { t.last.Store(time.Now().UnixNano()) }

// isolated reports whether no daemon was heard from in the last suspectAfter.
func (t *tracker) isolated() bool {
	return time.Now().UnixNano()-t.last.Load() > int64(suspectAfter)
}

// reset discards all contact times; silence counts from the next check.
func (t *tracker) reset() {
	t.last.Store(0)
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		clear(sh.heard)
		sh.mu.Unlock()
	}
}

func (t *tracker) forget(a ident.Addr) {
	sh := t.shard(a)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.heard, a)
}

// check marks the daemons of the local data centre that missed three heartbeats as suspect
// and declares those silent for goneAfter gone.
func (t *tracker) check(a *Agent) {
	if t.isolated() {
		return // the fault is in this forwarder or its network
	}
	list := a.d.Registry.Servers(daemonService(a.d.Place.DataCentre))
	var silent, gone []Server
	for _, m := range list {
		if m.Control == a.d.Addr {
			continue
		}
		d := t.silenceOf(a.d.Addr, m)
		if d > suspectAfter {
			silent = append(silent, m)
		}
		if d > goneAfter {
			gone = append(gone, m)
		}
	}
	for _, m := range silent {
		a.suspect(m)
	}
	gone = append(gone, t.orphans(a, list)...)
	// If most are silent at once, a partition or a fault in this forwarder is more likely.
	if len(gone) >= minMassLoss && 2*len(gone) > len(list) {
		if t.minSilence(a.d.Addr, gone) < massLossGrace {
			a.d.Stats.Inc("Peers.ExpiryDeferred")
			return
		}
	}
	for _, m := range gone {
		a.expire(m)
		t.forget(m.Control)
	}
}

// orphans returns servers of the local data centre whose daemon is not listed and has been
// silent for goneAfter, one server per daemon. Another data centre may still know them
// after all local forwarders were lost.
func (t *tracker) orphans(a *Agent, list []Server) []Server {
	known := map[ident.Addr]struct{}{a.d.Addr: {}}
	for _, m := range list {
		known[m.Control] = struct{}{}
	}
	var out []Server
	a.d.Registry.each(func(e entry) {
		if _, ok := known[e.Control]; ok || e.isDaemon() || e.State == Gone || e.Place.DataCentre != a.d.Place.DataCentre {
			return
		}
		known[e.Control] = struct{}{}
		if t.silence(e.Control) > goneAfter {
			out = append(out, e.Server)
		}
	})
	return out
}

// minMassLoss is the minimum number of daemons whose loss is treated as simultaneous.
const minMassLoss = 4

// silenceOf returns how long neither m nor the forwarder that it is connected to has been
// heard from.
func (t *tracker) silenceOf(self ident.Addr, m Server) time.Duration {
	d := t.silence(m.Control)
	if m.Backend != self && m.Backend != "" && m.Backend != m.Control {
		d = min(d, t.silence(m.Backend))
	}
	return d
}

func (t *tracker) minSilence(self ident.Addr, list []Server) time.Duration {
	out := t.silenceOf(self, list[0])
	for _, m := range list[1:] {
		out = min(out, t.silenceOf(self, m))
	}
	return out
}

// suspect marks a daemon as suspect here and notifies the other forwarders and the
// subscribers.
func (a *Agent) suspect(m Server) {
	if a.d.Registry.suspects.has(m.Control) {
		return
	}
	a.d.Stats.Inc("Peers.Suspected")
	a.d.Log.Emit(event.DaemonSuspect, "Daemon", m.Control)
	a.markSuspect(Suspect{Control: m.Control, Place: m.Place}, fromSelf)
}

func (a *Agent) markSuspect(s Suspect, from source) {
	if a.d.Registry.suspects.has(s.Control) {
		return
	}
	a.d.Registry.suspects.set(s.Control, time.Now().Add(suspicionTTL))
	a.links.suspect(s, from)
	a.subs.suspect(s)
}

// expire declares a daemon and its backend servers gone.
func (a *Agent) expire(m Server) {
	a.d.Stats.Inc("Peers.Expired")
	a.d.Log.Emit(event.DaemonGone, "Daemon", m.Control)
	var rows []Server
	a.d.Registry.each(func(e entry) {
		if e.Control == m.Control && e.State != Gone {
			rows = append(rows, e.Server)
		}
	})
	for _, s := range rows {
		s.State = Gone
		a.d.Registry.apply(s, fromSelf)
	}
}
