package ident

import "github.com/cespare/xxhash/v2"

// Rank returns the score of addr for key in rendezvous hashing; the address with the highest score ranks
// first. Entry daemons and the keeper of a cap use the same function, so that calls go first to the
// holders that have the most units.
func Rank(key string, addr Addr) uint64 {
	return MixRank(xxhash.Sum64String(key), xxhash.Sum64String(string(addr)))
}

// MixRank returns the score of Rank from the xxhash sums of key and address, for callers that have cached
// them. It combines the sums with the shifts and the multiplier of xorshift64*.
func MixRank(key, addr uint64) uint64 {
	x := key ^ addr
	x ^= x >> 12
	x ^= x << 25
	x ^= x >> 27
	return x * 2685821657736338717
}
