package poison

import (
	"slices"
	"time"
)

const (
	// poisonedCrashes is the number of crashes that poison a request of which no answer is known.
	poisonedCrashes = 2
	// answeredCrashes is the same for a request that was answered before: it may have been in flight by chance.
	answeredCrashes = 3
	// maxCrashes limits the crashes of each kind that are kept of a suspect. No verdict needs more than
	// answeredCrashes and one for each trial.
	maxCrashes = 8
	// trialTime is how long other daemons leave it to one to try a request. It exceeds the deadlines of most requests.
	trialTime = 10 * time.Second
)

// trialDelays are the times from the last crash until a poisoned request is tried, by the crashes since it is
// poisoned. After poisonedCrashes and one for each there is no trial until the verdict expires: no request is to crash
// more than a few backend servers in a day.
var trialDelays = []time.Duration{20 * time.Second, 2 * time.Minute, 20 * time.Minute}

// entry is what a daemon knows of a suspect. Times are on the steady clock.
type entry struct {
	crashes  []Crash
	refuted  []Crash
	answered bool
	judged   bool      // it is or was poisoned
	own      bool      // the backend server beside this daemon crashed, also before the daemon was restarted
	last     time.Time // when the last crash, or that one is refuted, was learned
	trial    time.Time // when a trial that is running is given up; zero: none is
}

// threshold returns the number of crashes that poison the request.
func (e *entry) threshold() int {
	if e.answered {
		return answeredCrashes
	}
	return poisonedCrashes
}

func (e *entry) poisoned() bool { return len(e.crashes) >= e.threshold() }

// until returns when the entry expires.
func (e *entry) until() time.Time {
	if e.poisoned() {
		return e.last.Add(VerdictExpiry)
	}
	return e.last.Add(Expiry)
}

// wait returns how long the request is refused from now on. stagger, from 0 to 1, is the part of the delay that is
// added to it.
func (e *entry) wait(now time.Time, stagger float64) time.Duration {
	if len(e.crashes) >= poisonedCrashes+len(trialDelays) {
		return e.until().Sub(now)
	}
	d := trialDelays[len(e.crashes)-e.threshold()]
	return max(e.last.Add(d+time.Duration(stagger*float64(d))).Sub(now), e.trial.Sub(now))
}

// merge adds the evidence of s, and reports whether there is a new crash.
func (e *entry) merge(s *Suspect, now time.Time) bool {
	e.answered = e.answered || s.Answered
	e.refute(s.Refuted, now)
	before := e.crashes
	e.crashes = addCrashes(e.crashes, slices.DeleteFunc(slices.Clone(s.Crashes), func(c Crash) bool { return slices.Contains(e.refuted, c) }))
	added := slices.ContainsFunc(e.crashes, func(c Crash) bool { return !slices.Contains(before, c) })
	if added {
		e.last, e.trial = now, time.Time{}
	}
	if s.Trial {
		e.trial = now.Add(trialTime)
	}
	return added
}

// refute records that an equal request was answered when these crashes were known.
func (e *entry) refute(list []Crash, now time.Time) {
	before := len(e.crashes)
	e.refuted = addCrashes(e.refuted, list)
	e.crashes = slices.DeleteFunc(slices.Clone(e.crashes), func(c Crash) bool { return slices.Contains(list, c) })
	if len(e.crashes) < before {
		e.last, e.trial = now, time.Time{} // kept for Expiry, to be passed on
	}
}

func (e *entry) suspect(fp Fingerprint) Suspect {
	return Suspect{Fingerprint: fp, Crashes: slices.Clone(e.crashes), Refuted: slices.Clone(e.refuted), Answered: e.answered}
}
