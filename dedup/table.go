package dedup

import (
	"context"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/refuse"
)

const shardCount = 32

// shard is a part of a table under one lock.
type shard struct {
	mu      sync.Mutex
	entries map[Scope]*Entry
}

// Table holds the records of the keys whose home is this daemon. It refuses free keys until
// Run has determined whether this process started cleanly.
type Table struct {
	d       TableDeps
	started time.Time
	shards  [shardCount]shard
	seed    maphash.Seed

	entries atomic.Int64
	bytes   atomic.Int64
	waiting atomic.Int64

	ready  atomic.Uint64 // list version for which all records of other homes are handed over
	start  atomic.Int32  // one of the start constants
	closed atomic.Bool   // the daemon is stopping
	sweeps int           // number of shards swept; selects the next one

	custodyMu sync.Mutex
	custody   map[string]*custody // by owner
}

// How the process of the table started.
const (
	startUnknown int32 = iota // not yet known: free keys are refused
	startClean                // all records of the previous process are present
	startUnclean              // records may be lost: the calls of unknown keys may have run
)

// New returns an empty Table.
func New(d TableDeps) *Table {
	t := &Table{d: d, started: time.Now(), seed: maphash.MakeSeed(), custody: map[string]*custody{}}
	for i := range t.shards {
		t.shards[i].entries = map[Scope]*Entry{}
	}
	return t
}

// Issue returns a new bound key whose home is this daemon.
func (t *Table) Issue() (Key, error) {
	return Bound{
		Home:        t.d.Addr,
		Incarnation: t.d.Incarnation,
		Issued:      time.Now().Unix(),
		Nonce:       t.d.Rand(),
	}.Key()
}

// Ready reports whether all records that the list version assigns to other homes have been
// handed over.
func (t *Table) Ready(version uint64) bool { return t.ready.Load() >= version }

// Len returns the number of records.
func (t *Table) Len() int { return int(t.entries.Load()) }

func (t *Table) shard(key Scope) *shard {
	return &t.shards[maphash.Comparable(t.seed, key)%shardCount]
}

// put replaces the record of key. The caller holds the lock of s, as for drop.
func (t *Table) put(s *shard, key Scope, e *Entry) {
	t.drop(s, key)
	s.entries[key] = e
	t.entries.Add(1)
	t.bytes.Add(e.bytes(key))
}

func (t *Table) drop(s *shard, key Scope) {
	if e := s.entries[key]; e != nil {
		delete(s.entries, key)
		t.entries.Add(-1)
		t.bytes.Add(-e.bytes(key))
	}
}

func (t *Table) full(extra int64) bool {
	return t.entries.Load() >= MaxEntries || t.bytes.Load()+extra > MaxBytes
}

// claim handles a Claim. If the first call is running, it waits up to maxWait for its end.
func (t *Table) claim(ctx context.Context, m Claim) Reply {
	timer := time.NewTimer(min(maxWait, m.Left))
	defer timer.Stop()
	for {
		r, done := t.tryClaim(m)
		if done == nil {
			return r
		}
		if t.waiting.Add(1) > maxWaiting {
			t.waiting.Add(-1)
			return r
		}
		select {
		case <-done:
			t.waiting.Add(-1)
		case <-timer.C:
			t.waiting.Add(-1)
			return r
		case <-ctx.Done():
			t.waiting.Add(-1)
			return r
		}
	}
}

// tryClaim decides on a claim without waiting. While the first call runs, it returns a channel
// that is closed when the call ends.
func (t *Table) tryClaim(m Claim) (Reply, <-chan struct{}) {
	b, err := m.Key.Parse()
	if err != nil {
		return refused(refuse.NotRun(refuse.BadRequest, err.Error())), nil
	}
	s := t.shard(m.Scope)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The list is read under the lock, so that collect sees every record that was created
	// under an older list.
	uncertain, moved := t.checkHome(m, b)
	if moved != "" {
		return Reply{Kind: Moved, Detail: moved}, nil
	}
	now := time.Now()
	e := s.entries[m.Scope]
	if e != nil && !now.Before(e.expires) {
		t.drop(s, m.Scope)
		e = nil
	}
	if e == nil || e.state == StateReleased && e.call != m.Call {
		if uncertain != "" {
			return unknown(refuse.KeyUnknown, uncertain), nil
		}
		return t.insert(s, m, b != nil, now), nil
	}
	if e.digest != m.Digest {
		return refused(refuse.NotRun(refuse.KeyReused, "key was used for another request")), nil
	}
	if e.state == StateRunning && !now.Before(e.deadline.Add(quota.StopGrace)) {
		e.complete(StateUnknown, Answer{})
	}
	switch e.state {
	case StateRunning:
		if e.call == m.Call {
			return Reply{Kind: Fresh}, nil // the reply to this claim was lost
		}
		return Reply{Kind: Running}, e.done
	case StateDone:
		if !e.answer.Kept {
			return unknownRan(refuse.AnswerNotKept, refuse.RanYes, "call ran, its answer was not kept"), nil
		}
		return Reply{Kind: Replay, Answer: e.answer}, nil
	case StateReleased:
		return refused(refuse.NotRun(refuse.Cancelled, "claim was given up")), nil
	}
	return unknown(refuse.AnswerLost, "the answer of the first call was lost"), nil
}

// insert creates the record of a new claim. The caller holds the lock of s.
func (t *Table) insert(s *shard, m Claim, bound bool, now time.Time) Reply {
	if m.Left <= 0 {
		return refused(refuse.NotRun(refuse.DeadlinePassed, "deadline passed before the claim"))
	}
	e := &Entry{
		digest: m.Digest, call: m.Call, state: StateRunning, bound: bound,
		deadline: now.Add(m.Left), expires: now.Add(m.Left + quota.RecordRetention), done: make(chan struct{}),
	}
	// The margin between MaxBytes and the memory budget leaves room for the longest answer.
	if t.full(e.bytes(m.Scope)) {
		return refused(refuse.NotRun(refuse.KeyTableFull, "table of idempotency keys is full"))
	}
	t.put(s, m.Scope, e)
	return Reply{Kind: Fresh}
}

// checkHome decides whether this daemon serves the key. If not, moved says why. Otherwise
// uncertain, if not empty, says why the call of a key without a record may have run.
func (t *Table) checkHome(m Claim, b *Bound) (uncertain, moved string) {
	if t.closed.Load() {
		return "", "home is stopping"
	}
	if b != nil {
		switch {
		case b.Home != t.d.Addr:
			return "", "home of the bound key is another daemon"
		case b.Incarnation != t.d.Incarnation:
			return "the process that issued the key has ended", ""
		case time.Since(time.Unix(b.Issued, 0)) > quota.RecordRetention:
			return "the key is older than the records", ""
		}
		return "", ""
	}
	l := t.d.List()
	key := m.homeKey()
	switch {
	case m.Service != t.d.Service || l.Version == 0 || m.ListVersion != l.Version:
		return "", "list version differs"
	case quota.FirstRanked(key, l.Holders) != t.d.Addr:
		return "", "home of the key is another daemon"
	case !t.d.Leased():
		return "", "base lease of the home has ended"
	case t.start.Load() == startUnknown:
		return "", "home has just started"
	}
	if len(l.Prev) > 0 {
		old := quota.FirstRanked(key, l.Prev)
		if old != t.d.Addr && slices.Contains(l.Holders, old) && !slices.Contains(l.Acked, old) {
			return "", "old home has not handed over"
		}
	}
	for _, x := range l.Lost {
		if x.Home(key) {
			return "an earlier home of the key was lost", ""
		}
	}
	if t.mayMissRecords() {
		return "the home restarted uncleanly", ""
	}
	return "", ""
}

// mayMissRecords reports whether records of an earlier process may be missing.
func (t *Table) mayMissRecords() bool {
	return t.start.Load() != startClean && time.Since(t.started) < quota.RecordRetention
}

func refused(r *refuse.Refusal) Reply {
	return Reply{Kind: Refused, Reason: r.Reason, Ran: r.Ran, Detail: r.Detail}
}

func unknown(reason refuse.Reason, detail string) Reply {
	return unknownRan(reason, refuse.RanUnknown, detail)
}

func unknownRan(reason refuse.Reason, ran refuse.Ran, detail string) Reply {
	return Reply{Kind: Unknown, Reason: reason, Ran: ran, Detail: detail}
}

// finish handles a Finish.
func (t *Table) finish(m Finish) Finished {
	s := t.shard(m.Scope)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[m.Scope]
	if e == nil || e.call != m.Call || t.closed.Load() {
		return Finished{Moved: true}
	}
	if e.state != StateRunning {
		return Finished{}
	}
	t.bytes.Add(-e.bytes(m.Scope))
	a := m.Answer.trimmed()
	switch a.Ran {
	case refuse.RanNo:
		e.complete(StateReleased, Answer{})
	case refuse.RanYes:
		if t.full(int64(a.size())) {
			a = Answer{Ran: refuse.RanYes}
		}
		e.complete(StateDone, a)
	default:
		e.complete(StateUnknown, Answer{})
	}
	e.expires = time.Now().Add(quota.RecordRetention)
	t.bytes.Add(e.bytes(m.Scope))
	return Finished{}
}

// Run determines how this process started, then hands over records whose home changes and
// drops expired ones until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	tick := time.NewTicker(scanInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if t.closed.Load() {
			return nil
		}
		if t.start.Load() == startUnknown && t.d.Confirmed() {
			t.determineStart(ctx)
		}
		t.scan(ctx)
	}
}

// determineStart decides whether this process started cleanly. It reclaims records that were
// stored with a custodian.
func (t *Table) determineStart(ctx context.Context) {
	state := startUnclean
	switch {
	case t.d.Joined():
		state = startClean
	case t.d.PreviousIncarnation() != 0:
		if err := t.reclaim(ctx); err == nil {
			state = startClean
		}
	}
	t.start.Store(state)
	if state == startUnclean {
		t.d.Log.Emit(event.RecordsLost, "Service", t.d.Service)
	}
}
