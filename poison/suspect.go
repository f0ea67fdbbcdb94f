package poison

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Crash names the end of a process of a backend server.
type Crash struct {
	Server  ident.Addr // as its daemon names it
	Process string     // unique, with Born, among the processes of Server
	Born    int64      // start of the process, Unix milliseconds by the clock of Server
}

// compareCrashes orders crashes of processes that started later first.
func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(b.Born, a.Born), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Process, b.Process))
}

// addCrashes returns the first maxCrashes of both lists in the order of compareCrashes. The same order at all daemons
// lets them agree on those that are dropped.
func addCrashes(list, more []Crash) []Crash {
	list = append(slices.Clone(list), more...)
	slices.SortFunc(list, compareCrashes)
	list = slices.Compact(list)
	return list[:min(len(list), maxCrashes)]
}

// Suspect is what is known of a request that was in flight when backend servers crashed, in the form that daemons
// exchange. The sets only grow, so that daemons can merge them in any order.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     []Crash `msgpack:",omitempty"` // that no answer has refuted
	Refuted     []Crash `msgpack:",omitempty"` // known when an equal request was answered
	Answered    bool    `msgpack:",omitempty"` // an equal request was answered, before or after the crashes
	Trial       bool    `msgpack:",omitempty"` // the sender is about to let an equal request through
}

// adds reports whether s has evidence that o lacks.
func (s *Suspect) adds(o *Suspect) bool {
	return s.Answered && !o.Answered ||
		slices.ContainsFunc(s.Refuted, func(c Crash) bool { return !slices.Contains(o.Refuted, c) }) ||
		slices.ContainsFunc(s.Crashes, func(c Crash) bool { return !slices.Contains(o.Crashes, c) && !slices.Contains(o.Refuted, c) })
}

// Equal reports whether both say the same of the same request.
func (s *Suspect) Equal(o *Suspect) bool {
	return s.Fingerprint == o.Fingerprint && s.Answered == o.Answered && slices.Equal(s.Crashes, o.Crashes) && slices.Equal(s.Refuted, o.Refuted)
}

// compareSuspects orders those with more crashes first.
func compareSuspects(a, b Suspect) int {
	return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
}
