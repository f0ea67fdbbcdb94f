package poison

import (
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

const (
	// Expiry is how long a suspect is kept and a poisoned request is refused.
	Expiry = 10 * time.Minute
	// poisonedCrashes is the number of crashed backend servers that makes a request poisoned.
	poisonedCrashes = 2
	// maxSuspects limits the table. A crash adds at most one suspect per connection of a
	// backend server (120), so that 136 crashes within Expiry fit. With 4,096 entries, 50
	// crashing requests that were resent in turn were never refused.
	maxSuspects = 16384
	// maxListed limits the suspects that are sent with a heartbeat.
	maxListed = 256
)

// shardCount is the number of shards, each with its own lock, as every call does a lookup.
const shardCount = 16

// Deps are the dependencies of Suspects.
type Deps struct {
	Log   *event.Log
	Stats *stats.Set
}

// Suspects records requests that were in flight when backend servers crashed, in an exact
// table with expiry.
type Suspects struct {
	d        Deps
	revision atomic.Uint64 // zero until the first crash
	shards   [shardCount]suspectShard
}

// suspectShard holds the suspects whose fingerprints hash to it, under its own lock.
type suspectShard struct {
	mu      sync.RWMutex
	entries map[Fingerprint]*entry
}

// entry holds the crashed servers and the expiry of a suspect.
type entry struct {
	servers []ident.Addr
	until   time.Time
}

// New returns an empty Suspects.
func New(d Deps) *Suspects {
	s := &Suspects{d: d}
	for i := range s.shards {
		s.shards[i].entries = map[Fingerprint]*entry{}
	}
	return s
}

func (s *Suspects) shard(fp Fingerprint) *suspectShard {
	return &s.shards[binary.LittleEndian.Uint64(fp[:])%shardCount]
}

// Check returns a *refuse.Refusal with the reason Poisoned, marked as not run, if the
// request was in flight when two backend servers crashed in the last 10 min.
func (s *Suspects) Check(fp Fingerprint) error {
	t := s.shard(fp)
	t.mu.RLock()
	e := t.entries[fp]
	poisoned := e != nil && len(e.servers) >= poisonedCrashes && time.Now().Before(e.until)
	t.mu.RUnlock()
	if !poisoned {
		return nil
	}
	r := refuse.NotRun(refuse.Poisoned, "request was in flight when two backend servers crashed")
	s.d.Stats.Refused(r)
	return r
}

// Begin is called when a request is sent to a backend server. The returned function must be
// called at the end of the request and told whether the server's process crashed.
func (s *Suspects) Begin(fp Fingerprint, server ident.Addr) (end func(crashed bool)) {
	return func(crashed bool) {
		if crashed {
			s.d.Stats.Inc("Poison.Suspected")
			s.add(fp, []ident.Addr{server}, time.Now().Add(Expiry))
		}
	}
}

// Empty reports whether no crash has been recorded since this daemon started.
func (s *Suspects) Empty() bool { return s.revision.Load() == 0 }

// Clear removes a suspect of a single crash after a backend server has completed the request:
// it is a frequent request that was in flight by chance. A poisoned request stays refused,
// since it was in flight at two crashes without completing in between. Each daemon clears the
// requests that complete at its own backend server.
func (s *Suspects) Clear(fp Fingerprint) {
	t := s.shard(fp)
	t.mu.RLock()
	e := t.entries[fp]
	singleCrash := e != nil && len(e.servers) < poisonedCrashes
	t.mu.RUnlock()
	if !singleCrash {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[fp]; e != nil && len(e.servers) < poisonedCrashes {
		delete(t.entries, fp)
		s.d.Stats.Inc("Poison.Cleared")
	}
}

// add records crashes of servers. An entry expires at the latest until passed for it.
func (s *Suspects) add(fp Fingerprint, servers []ident.Addr, until time.Time) {
	t := s.shard(fp)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	e := t.entries[fp]
	if e == nil || !now.Before(e.until) {
		if e == nil && len(t.entries) >= maxSuspects/shardCount {
			t.evict(now)
			s.d.Stats.Inc("Poison.Evicted")
		}
		e = &entry{}
		t.entries[fp] = e
	}
	if until.After(e.until) {
		e.until = until
	}
	before := len(e.servers)
	for _, a := range servers {
		if len(e.servers) < poisonedCrashes && !slices.Contains(e.servers, a) {
			e.servers = append(e.servers, a)
		}
	}
	if len(e.servers) > before {
		s.revision.Add(1)
	}
	if before < poisonedCrashes && len(e.servers) >= poisonedCrashes {
		s.d.Log.Emit(event.RequestPoisoned, "Fingerprint", fp.String(), "Servers", e.servers)
		s.d.Stats.Inc("Poison.Poisoned")
	}
}

// evict removes all expired entries. If there are none, it removes the entry that expires
// first among those with one crash, or among all if every entry is poisoned.
func (t *suspectShard) evict(now time.Time) {
	var victim Fingerprint
	var found *entry
	expired := false
	for fp, e := range t.entries {
		if !now.Before(e.until) {
			delete(t.entries, fp)
			expired = true
			continue
		}
		if found == nil || len(e.servers) < len(found.servers) ||
			len(e.servers) == len(found.servers) && e.until.Before(found.until) {
			victim, found = fp, e
		}
	}
	if !expired {
		delete(t.entries, victim)
	}
}

// Merge adds the suspects of another daemon.
func (s *Suspects) Merge(list []Suspect) {
	now := time.Now()
	for _, x := range list {
		until := time.UnixMilli(x.Until)
		if latest := now.Add(Expiry); until.After(latest) {
			until = latest // the sender's clock is ahead
		}
		if now.Before(until) {
			s.add(x.Fingerprint, x.Servers, until)
		}
	}
}

// Revision increases with each new suspect or crash. The list is sent when it has changed.
func (s *Suspects) Revision() uint64 { return s.revision.Load() }

// List returns at most maxListed suspects to send to other daemons: poisoned ones first, then
// those that expire last.
func (s *Suspects) List() []Suspect {
	now := time.Now()
	var out []Suspect
	for i := range s.shards {
		t := &s.shards[i]
		t.mu.Lock()
		for fp, e := range t.entries {
			if !now.Before(e.until) {
				delete(t.entries, fp)
				continue
			}
			out = append(out, Suspect{Fingerprint: fp, Servers: slices.Clone(e.servers), Until: e.until.UnixMilli()})
		}
		t.mu.Unlock()
	}
	slices.SortFunc(out, compareSuspects)
	return out[:min(len(out), maxListed)]
}
