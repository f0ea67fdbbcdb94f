package route

import (
	"cmp"
	"slices"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// baseRankCacheSize is the number of members of a service for which the lowest rank is cached.
// Computing it sorts the ranks of all servers.
const baseRankCacheSize = 64

// baseRankCache caches, for some members, the lowest rank of a server with a base unit.
type baseRankCache struct {
	entries [baseRankCacheSize]baseRank
	ranks   []uint64 // reused buffer
}

// baseRank is valid if base is not zero.
type baseRank struct {
	member  uint64
	base    int
	minRank uint64
}

// get returns the rank of the lowest-ranked server that has a base unit of member, if the base units
// go one each to the servers with the highest ranks. There must be more servers than units.
func (l *baseRankCache) get(nodes []*node, member uint64, base int) uint64 {
	c := &l.entries[member%baseRankCacheSize]
	if c.member == member && c.base == base {
		return c.minRank
	}
	l.ranks = l.ranks[:0]
	for _, n := range nodes {
		l.ranks = append(l.ranks, ident.RendezvousScoreOfHashes(member, n.hash))
	}
	slices.Sort(l.ranks)
	*c = baseRank{member: member, base: base, minRank: l.ranks[len(l.ranks)-base]}
	return c.minRank
}

// clear empties the cache. It is called when the servers have changed.
func (l *baseRankCache) clear() { l.entries = [baseRankCacheSize]baseRank{} }

// compareRank orders servers by their rank for member.
func compareRank(member uint64, a, b *node) int {
	return cmp.Compare(ident.RendezvousScoreOfHashes(member, a.hash), ident.RendezvousScoreOfHashes(member, b.hash))
}
