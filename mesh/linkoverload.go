package mesh

import (
	"sync"
	"time"
)

const (
	// linkOverloadSpan is how long the link counts as overloaded after a request was refused whose answer could have been in
	// time; it is that of the slots.
	linkOverloadSpan = 300 * time.Millisecond
	// maxOverloadRanks limits the ranks that are tracked. When it is exceeded, all are discarded.
	maxOverloadRanks = 1024
)

// linkOverload tracks when requests were refused that a free link would have served in time. Meanwhile late answers of the
// rank and of less urgent ones are refused, as they would make others late.
type linkOverload struct {
	mu      sync.Mutex
	refused map[int]time.Time // by rank
}

func (o *linkOverload) add(rank int, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refused == nil || len(o.refused) > maxOverloadRanks {
		o.refused = map[int]time.Time{}
	}
	o.refused[rank] = now
}

// has reports whether a request of the rank or a more urgent one was refused within linkOverloadSpan.
func (o *linkOverload) has(rank int, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for r, at := range o.refused {
		if r <= rank && now.Sub(at) < linkOverloadSpan {
			return true
		}
	}
	return false
}
