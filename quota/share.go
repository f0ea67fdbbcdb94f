package quota

import (
	"cmp"
	"slices"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// ranksBefore reports whether a ranks before b, given their weights.
func ranksBefore(wa uint64, a ident.Addr, wb uint64, b ident.Addr) bool {
	if wa != wb {
		return wa > wb
	}
	return a < b
}

// RankOrder returns the addresses ordered by rendezvous hashing of key. Entry daemons use a member
// as the key to choose a holder.
func RankOrder(key string, addrs []ident.Addr) []ident.Addr {
	out := slices.Clone(addrs)
	weights := make(map[ident.Addr]uint64, len(out))
	for _, a := range out {
		weights[a] = ident.RendezvousScore(key, a)
	}
	slices.SortFunc(out, func(a, b ident.Addr) int {
		if c := cmp.Compare(weights[b], weights[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return out
}

// FirstRanked returns the address that ranks first for key, or the empty address if there are none.
func FirstRanked(key string, addrs []ident.Addr) ident.Addr {
	var best ident.Addr
	var top uint64
	for i, a := range addrs {
		if w := ident.RendezvousScore(key, a); i == 0 || ranksBefore(w, a, top, best) {
			best, top = a, w
		}
	}
	return best
}

// rendezvousRank returns the position of self in the rendezvous order for key, or -1 if it is
// not in addrs.
func rendezvousRank(key string, addrs []ident.Addr, self ident.Addr) int {
	w := ident.RendezvousScore(key, self)
	pos, found := 0, false
	for _, a := range addrs {
		if a == self {
			found = true
			continue
		}
		if ranksBefore(ident.RendezvousScore(key, a), a, w, self) {
			pos++
		}
	}
	if !found {
		return -1
	}
	return pos
}

// baseUnits returns the half of a cap, rounded up, that is divided among the listed holders.
func baseUnits(limit ident.Units) ident.Units { return (limit + 1) / 2 }

// floatingUnits returns the half of a cap, rounded down, that the keeper grants.
func floatingUnits(limit ident.Units) ident.Units { return limit / 2 }

// BaseShare returns the base units of the holder at position in a list of n holders. Units
// that remain after an even division go to the first positions, one each. A negative position
// gets none.
func BaseShare(units ident.Units, n, position int) ident.Units {
	if position < 0 || n == 0 {
		return 0
	}
	s := units / ident.Units(n)
	if position < int(units)%n {
		s++
	}
	return s
}
