package ident

import "github.com/cespare/xxhash/v2"

// RendezvousScore returns the score of addr for key in rendezvous hashing; the address with the highest score ranks
// first. Entry daemons and the keeper of a cap use the same function, so that calls go first to the
// holders that have the most units.
func RendezvousScore(key string, addr Addr) uint64 {
	return RendezvousScoreOfHashes(xxhash.Sum64String(key), xxhash.Sum64String(string(addr)))
}

// RendezvousScoreOfHashes returns the score of Rank from the xxhash sums of key and address, for callers that have cached
// them. It combines the sums with the shifts and the multiplier of xorshift64*.
func RendezvousScoreOfHashes(key, addr uint64) uint64 {
	x := key ^ addr
	x ^= x >> 12
	x ^= x << 25
	x ^= x >> 27
	return x * 2685821657736338717
}
