package rate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Shards is the number of parts into which accounts are divided. Each has a keeper of its own.
const Shards = 16

// ShardOf returns the shard of an account.
func ShardOf(id ident.AccountID) uint8 {
	return uint8(xxhash.Sum64String(string(id)) % Shards) //nolint:gosec // below Shards
}

// maxCandidates limits the daemons that are tried in turn as the keeper of a shard.
const maxCandidates = 6

// keeperKeys are the keys by which the keepers of the shards are chosen.
var keeperKeys = shardKeys("rate/keeper/")

// plan returns the daemons of list that are tried in turn as the keeper of each shard. A daemon that is the first of one
// shard is the last of the others, since a keeper of several would need several times the bytes.
func plan(list []ident.Addr) [Shards][]ident.Addr {
	var out [Shards][]ident.Addr
	first := map[ident.Addr]bool{}
	for i := range out {
		c := candidates(uint8(i), list)
		slices.SortStableFunc(c, func(a, b ident.Addr) int {
			switch {
			case first[a] == first[b]:
				return 0
			case first[b]:
				return -1
			}
			return 1
		})
		if len(c) > 0 {
			first[c[0]] = true
		}
		out[i] = c
	}
	return out
}

// candidates returns the first daemons of list in the order in which they become keepers of shard.
func candidates(shard uint8, list []ident.Addr) []ident.Addr {
	type ranked struct {
		addr  ident.Addr
		score uint64
	}
	var top []ranked
	for _, a := range list {
		r := ranked{a, ident.RendezvousScoreOfHashes(keeperKeys[shard], xxhash.Sum64String(string(a)))}
		i, _ := slices.BinarySearchFunc(top, r, func(x, y ranked) int {
			return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.addr, y.addr))
		})
		if i < maxCandidates {
			top = slices.Insert(top, i, r)
			top = top[:min(len(top), maxCandidates)]
		}
	}
	out := make([]ident.Addr, 0, len(top))
	for _, r := range top {
		out = append(out, r.addr)
	}
	return out
}
