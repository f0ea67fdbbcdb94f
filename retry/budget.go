package retry

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

const (
	shardCount = 32

	// DefaultShare is the share of the calls that may be hedges, or retries of calls that may
	// have run. The target is less than 5% extra calls.
	DefaultShare = 0.04

	// maxTokens limits the tokens that a service accumulates, so that the share also holds
	// over short times.
	maxTokens = 10
)

// Budget limits, per service, hedges and retries of calls that may have run to a share of the
// calls. Its methods are safe for concurrent use.
type Budget struct {
	share  float64
	stats  *stats.Set
	shards [shardCount]budgetShard
}

type budgetShard struct {
	mu     sync.Mutex
	tokens map[ident.ServiceID]float64
}

// NewBudget returns an empty Budget that adds share tokens per call.
func NewBudget(share float64, set *stats.Set) *Budget {
	b := &Budget{share: share, stats: set}
	for i := range b.shards {
		b.shards[i].tokens = map[ident.ServiceID]float64{}
	}
	return b
}

func (b *Budget) shard(service ident.ServiceID) *budgetShard {
	return &b.shards[xxhash.Sum64String(string(service))%shardCount]
}

// Call counts a call to service that came from outside the mesh, at depth 1, and adds a share
// of a token. Calls further down a chain add nothing: if each of 13 hops added 4%, the last
// service would receive 1.5 times its calls.
func (b *Budget) Call(service ident.ServiceID) {
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens[service] = min(maxTokens, s.tokens[service]+b.share)
}

// Take reports whether a further attempt of kind k may be made, and counts it under its kind.
// An attempt after one that did not run is always allowed, but removes as many tokens as a
// call adds: while servers refuse calls, a hedge would take a slot from another call.
func (b *Budget) Take(service ident.ServiceID, k Kind) bool {
	if k == NotRun {
		b.deduct(service)
	} else if !b.spend(service) {
		b.stats.Inc("RetryDenied." + string(k))
		return false
	}
	b.stats.Retried(string(k))
	return true
}

func (b *Budget) spend(service ident.ServiceID) bool {
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens[service] < 1 {
		return false
	}
	s.tokens[service]--
	return true
}

func (b *Budget) deduct(service ident.ServiceID) {
	s := b.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens[service] = max(0, s.tokens[service]-b.share)
}
