package emul

import (
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/refuse"
)

// ViolationKind is the kind of a Violation.
type ViolationKind string

// The kinds of violations that Check finds.
const (
	FalseNotRun   ViolationKind = "FalseNotRun"   // the refusal says that it did not run, but it ran
	FalseRan      ViolationKind = "FalseRan"      // the refusal says that it ran, but it did not
	RanTwice      ViolationKind = "RanTwice"      // not idempotent, but ran more than once
	AnswerNotRun  ViolationKind = "AnswerNotRun"  // answered, but it did not run
	ForeignAnswer ViolationKind = "ForeignAnswer" // answered with the answer to another call
)

// Violation is a call whose runs contradict what its caller was told.
type Violation struct {
	Kind ViolationKind
	Call string
	Runs int
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: call %s, runs %d", v.Kind, v.Call, v.Runs)
}

// Check compares what the callers were told with the runs at the backend servers; runs
// returns the runs of a request id over all backend servers. It is called after Run.
func (l *Load) Check(runs func(id string) int) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Violation
	total := map[string]int{}
	for _, s := range l.sends {
		total[s.call] += runs(s.id)
	}
	seen := map[string]bool{}
	for _, s := range l.sends {
		out = append(out, checkSend(s, runs(s.id), total[s.call])...)
		if n := total[s.call]; s.kind.Once && n > 1 && !seen[s.call] {
			seen[s.call] = true
			out = append(out, Violation{RanTwice, s.call, n})
		}
	}
	return out
}

// checkSend checks one send, given its own runs and all runs of its call.
func checkSend(s *send, own, all int) []Violation {
	var out []Violation
	o := s.outcome
	switch {
	case o.refusal != nil && o.refusal.Ran == refuse.RanNo && own > 0:
		out = append(out, Violation{FalseNotRun, s.id, own})
	case o.refusal != nil && o.refusal.Ran == refuse.RanYes && all == 0:
		out = append(out, Violation{FalseRan, s.id, all})
	case o.answered() && all == 0:
		out = append(out, Violation{AnswerNotRun, s.id, all})
	}
	if o.foreign {
		out = append(out, Violation{ForeignAnswer, s.id, own})
	}
	return out
}

// TotalRuns returns a function that sums the runs of a request id over backends.
func TotalRuns(backends ...*Backend) func(id string) int {
	return func(id string) int {
		n := 0
		for _, b := range backends {
			n += b.Runs(id)
		}
		return n
	}
}
