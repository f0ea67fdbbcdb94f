package poison

import (
	"encoding/binary"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

const (
	// Expiry is how long a suspect is kept after its last crash if it is not poisoned.
	Expiry = 10 * time.Minute
	// VerdictExpiry is how long a poisoned request is refused after its last crash if no trial is answered.
	VerdictExpiry = 24 * time.Hour
	// noticeDelay is how long before a daemon hears of a crash the crash may have been: the detection of it takes
	// milliseconds, and the notice crosses regions. An answer within it counts as later than the crash.
	noticeDelay = 300 * time.Millisecond
	// maxListed limits the suspects in a list.
	maxListed = 256
	// maxOwn limits those that a daemon's state holds, which all daemons have: some 5 KB.
	maxOwn = 32
)

// Deps are the dependencies of Suspects.
type Deps struct {
	Self  ident.Addr // of the daemon; spreads the trials of several daemons over time
	Log   *event.Log
	Stats *stats.Set
}

// Suspects records requests that were in flight when backend servers crashed, in an exact
// table with expiry, and refuses those that no answer clears.
type Suspects struct {
	d       Deps
	crashed atomic.Bool // a crash is known
	judged  atomic.Bool // there was a verdict
	shards  [shardCount]shard
}

// New returns an empty Suspects.
func New(d Deps) *Suspects {
	s := &Suspects{d: d}
	for i := range s.shards {
		t := &s.shards[i]
		t.entries, t.answers = map[Fingerprint]*entry{}, map[Fingerprint]time.Time{}
	}
	return s
}

func (s *Suspects) shard(fp Fingerprint) *shard {
	return &s.shards[binary.LittleEndian.Uint64(fp[:])%shardCount]
}

// stagger returns the part, from 0 to 1, by which this daemon tries a poisoned request later than others.
func (s *Suspects) stagger(fp Fingerprint) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(s.d.Self))
	_, _ = d.Write(fp[:])
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Empty reports whether no crash is known since this daemon started.
func (s *Suspects) Empty() bool { return !s.crashed.Load() }

// Check returns a *refuse.Refusal with the reason Poisoned, marked as not run, if the request is poisoned and may not be
// tried here yet, and how long that holds.
func (s *Suspects) Check(fp Fingerprint) (time.Duration, error) {
	if s.Empty() {
		return 0, nil
	}
	t, now := s.shard(fp), time.Now()
	t.mu.RLock()
	wait := time.Duration(0)
	if e := t.get(fp, now); e != nil && e.poisoned() {
		wait = e.wait(now, s.stagger(fp))
	}
	t.mu.RUnlock()
	return s.refusal(wait)
}

// Admit is Check for a request that is about to be sent to a backend server. If the request is poisoned and admitted,
// it is a trial, and the returned list is to be sent to the other daemons at once.
func (s *Suspects) Admit(fp Fingerprint) (trial []Suspect, wait time.Duration, err error) {
	if s.Empty() {
		return nil, 0, nil
	}
	t, now := s.shard(fp), time.Now()
	t.mu.Lock()
	if e := t.get(fp, now); e != nil && e.poisoned() {
		if wait = e.wait(now, s.stagger(fp)); wait <= 0 {
			e.trial = now.Add(trialTime)
			x := e.suspect(fp)
			x.Trial = true
			trial = []Suspect{x}
		}
	}
	t.mu.Unlock()
	if trial != nil {
		s.d.Stats.Inc("Poison.Trial")
		s.d.Log.Emit(event.RequestTried, "Fingerprint", fp.String())
		return trial, 0, nil
	}
	wait, err = s.refusal(wait)
	return nil, wait, err
}

func (s *Suspects) refusal(wait time.Duration) (time.Duration, error) {
	if wait <= 0 {
		return 0, nil
	}
	r := refuse.NotRun(refuse.Poisoned, "request was in flight when backend servers crashed, and was not answered since")
	s.d.Stats.Refused(r)
	return wait, r
}

// Crashed records that a backend server crashed with these requests in flight, and returns the suspects to send to the
// other daemons. A request that was answered before is not suspect if another one explains the crash.
func (s *Suspects) Crashed(c Crash, list []Fingerprint) []Suspect {
	now := time.Now()
	explained := slices.ContainsFunc(list, func(fp Fingerprint) bool { return s.explains(fp, c, now) })
	var out []Suspect
	for _, fp := range list {
		answered := s.wasAnswered(fp, now)
		if answered && explained {
			continue
		}
		out = append(out, s.update(&Suspect{Fingerprint: fp, Crashes: []Crash{c}, Answered: answered}, true, now))
		s.d.Stats.Inc("Poison.Suspected")
	}
	return out
}

// wasAnswered reports whether an equal request is known to have been answered.
func (s *Suspects) wasAnswered(fp Fingerprint, now time.Time) bool {
	t := s.shard(fp)
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.get(fp, now)
	return (e != nil && e.answered) || !t.lastAnswer(fp).IsZero()
}

// explains reports whether the request was in flight at a crash other than c, and no answer to it is known: it, rather
// than one that was answered, has caused both.
func (s *Suspects) explains(fp Fingerprint, c Crash, now time.Time) bool {
	if s.wasAnswered(fp, now) {
		return false
	}
	t := s.shard(fp)
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.get(fp, now)
	return e != nil && slices.ContainsFunc(e.crashes, func(x Crash) bool { return x != c })
}

// Answered records that a backend server answered the request. That refutes all its crashes; the returned list, if not
// empty, is to be sent to the other daemons.
func (s *Suspects) Answered(fp Fingerprint) []Suspect {
	t, now := s.shard(fp), time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordAnswer(fp, now)
	e := t.get(fp, now)
	if e == nil || len(e.crashes) == 0 {
		return nil
	}
	poisoned := e.poisoned()
	s.refuteAll(e, now)
	if poisoned {
		s.reportVerdict(fp, e, false)
	}
	return []Suspect{e.suspect(fp)}
}

// refuteAll refutes all crashes of e. The caller holds the lock of its shard.
func (s *Suspects) refuteAll(e *entry, now time.Time) {
	e.answered = true
	e.refute(e.crashes, now)
	s.d.Stats.Inc("Poison.Cleared")
}

// Merge adds the suspects that another daemon sent, and returns those of which more is known here than the other daemon
// stated.
func (s *Suspects) Merge(list []Suspect) []Suspect { return s.merge(list, false) }

// Restore is Merge for the suspects that an earlier process of this daemon returned from Own.
func (s *Suspects) Restore(list []Suspect) { s.merge(list, true) }

func (s *Suspects) merge(list []Suspect, own bool) []Suspect {
	now := time.Now()
	var out []Suspect
	for i := range list {
		if x := s.update(&list[i], own, now); x.adds(&list[i]) {
			out = append(out, x)
		}
	}
	return out
}

// update adds the evidence of x, and returns what is known then.
func (s *Suspects) update(x *Suspect, own bool, now time.Time) Suspect {
	t := s.shard(x.Fingerprint)
	t.mu.Lock()
	defer t.mu.Unlock()
	e, evicted := t.add(x.Fingerprint, now)
	if evicted {
		s.d.Stats.Inc("Poison.Evicted")
	}
	e.own = e.own || own
	before := e.poisoned()
	added := e.merge(x, now)
	if added {
		s.crashed.Store(true)
		last := t.lastAnswer(x.Fingerprint)
		e.answered = e.answered || !last.IsZero()
		if !last.IsZero() && now.Sub(last) < noticeDelay {
			s.refuteAll(e, now)
		}
	}
	if poisoned := e.poisoned(); poisoned != before {
		s.reportVerdict(x.Fingerprint, e, poisoned)
	}
	return e.suspect(x.Fingerprint)
}

// reportVerdict logs that a verdict on e begins or ends. The caller holds the lock of its shard.
func (s *Suspects) reportVerdict(fp Fingerprint, e *entry, poisoned bool) {
	if !poisoned {
		s.d.Log.Emit(event.RequestCleared, "Fingerprint", fp.String())
		return
	}
	e.judged = true
	s.judged.Store(true)
	s.d.Log.Emit(event.RequestPoisoned, "Fingerprint", fp.String(), "Crashes", e.crashes)
	s.d.Stats.Inc("Poison.Poisoned")
}

// Verdicts returns requests that are or were poisoned, for a daemon that may know none of them.
func (s *Suspects) Verdicts() []Suspect {
	if !s.judged.Load() {
		return nil
	}
	return s.list(maxListed, func(e *entry) bool { return e.judged })
}

// Own returns those of Verdicts at whose crashes the backend server beside this daemon took part, for its next process
// and for daemons that were not told.
func (s *Suspects) Own() []Suspect {
	if !s.judged.Load() {
		return nil
	}
	return s.list(maxOwn, func(e *entry) bool { return e.judged && e.own })
}

// list returns at most n of the suspects of which include holds: those with most crashes first.
func (s *Suspects) list(n int, include func(*entry) bool) []Suspect {
	now := time.Now()
	var out []Suspect
	for i := range s.shards {
		t := &s.shards[i]
		t.mu.Lock()
		for fp, e := range t.entries {
			switch {
			case !now.Before(e.until()):
				delete(t.entries, fp)
			case include(e):
				out = append(out, e.suspect(fp))
			}
		}
		t.mu.Unlock()
	}
	slices.SortFunc(out, compareSuspects)
	return out[:min(len(out), n)]
}
