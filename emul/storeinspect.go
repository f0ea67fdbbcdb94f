package emul

import (
	"slices"
	"strings"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// Counts returns the number of calls by name, such as "Swap". A waiting watch is one call.
func (s *Store) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.counts))
	for k, n := range s.counts {
		out[k] = n
	}
	return out
}

// Watching returns the number of waiting watches.
func (s *Store) Watching() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching
}

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Keys returns the existing keys with the prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// Peek returns the value of key without a call: it is not counted and not subject to faults.
func (s *Store) Peek(key string) store.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value(key, s.keys[key])
}

// OnChange calls f after each change of a key, in the order of revisions. A deleted key has
// Revision 0. The function must not use s. Nil removes it.
func (s *Store) OnChange(f func(store.Value)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = f
}
