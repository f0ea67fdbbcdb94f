package rate

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	// voterPart is the part of the daemons, one in so many, that are voters of a shard. The refill of a keeper is scaled by
	// the voters attached to it. Each renews its attachments, so that with all daemons as voters of all shards renewals
	// alone took 2.6 KB/s of a daemon (worked out for 84 daemons).
	voterPart = 4
	// allVoters is the number of daemons up to which all are voters, as there might be none of a shard.
	allVoters = 48
)

// voterKeys are the keys by which the voters of the shards are chosen.
var voterKeys = shardKeys("rate/voter/")

func shardKeys(prefix string) [Shards]uint64 {
	var out [Shards]uint64
	for i := range out {
		out[i] = xxhash.Sum64String(prefix + strconv.Itoa(i))
	}
	return out
}

// isVoter reports whether the daemon at a is a voter of a shard if not all are.
func isVoter(shard uint8, a ident.Addr) bool {
	return ident.RendezvousScoreOfHashes(voterKeys[shard], xxhash.Sum64String(string(a)))%voterPart == 0
}
