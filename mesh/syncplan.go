package mesh

import (
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

const (
	// rootCount is how many daemons read the store for all others. There are two so that losing one causes no
	// delay.
	rootCount = 2
	// standbyCount is how many more daemons follow the roots directly, so that they notice first when both are
	// lost.
	standbyCount = 2
	// relaysPerDataCentre is how many daemons of a data centre follow the roots; the others follow them. So a
	// change crosses to a region a few times, however many daemons there are.
	relaysPerDataCentre = 2
	// storeDistanceStep is the difference in the latency of the store that tells regions apart: below it,
	// scheduling of small VMs decides.
	storeDistanceStep = 16 * time.Millisecond
)

// tier is the part of a daemon in distributing the state of the store.
type tier uint8

const (
	follower tier = iota // follows the relays of its data centre
	relay                // follows the roots, and passes on what changes
	root                 // reads the store
)

// syncPlan tells from which daemons a daemon gets the state of the store. The first parent sends it what changes,
// the others only confirm how current its state is, until they have something that the first one has not sent.
type syncPlan struct {
	tier    tier
	second  bool         // a relay whose first parent is another relay
	parents []ident.Addr // none for a root
}

// planSync returns the plan of the daemon self among peers, which include it. Daemons for which usable is false
// are passed over, so that the next ones in rank replace them. Rendezvous hashing makes all daemons select the
// same ones. If their views differ, more daemons than needed read the store, which does no harm.
func planSync(self Peer, peers []Peer, usable func(ident.Addr) bool) syncPlan {
	var able, central, local []Peer
	for _, p := range peers {
		if !p.Stopping && usable(p.Addr) {
			able = append(able, p)
		}
	}
	home := homeRegion(able)
	for _, p := range able {
		if p.Place.Region == home {
			central = append(central, p)
		}
		if p.Place == self.Place {
			local = append(local, p)
		}
	}
	roots, central := takeRoots(central)
	if len(roots) == 0 || contains(roots, self.Addr) {
		return syncPlan{tier: root}
	}
	relays := takeRelays(local, roots, self.Place)
	standby, _ := takeTop(central, standbyCount, rootKey)
	switch {
	case len(relays) == 0 || relays[0].Addr == self.Addr: // none if all of them are stopping
		return syncPlan{tier: relay, parents: addrs(roots)}
	case contains(relays, self.Addr) || contains(standby, self.Addr):
		// One copy of a change is enough for a data centre.
		return syncPlan{
			tier: relay, second: !contains(roots, relays[0].Addr),
			parents: append(addrs(relays[:1]), addrs(without(roots, relays[0].Addr))...),
		}
	}
	// Each relay feeds half of the followers.
	parents, _ := takeTop(relays, len(relays), string(self.Addr))
	return syncPlan{tier: follower, parents: addrs(parents)}
}

// takeRelays returns the relays of a data centre, with the roots that are in it first.
func takeRelays(local, roots []Peer, place ident.Place) []Peer {
	var relays []Peer
	for _, p := range roots {
		if p.Place == place {
			relays = append(relays, p)
			local = without(local, p.Addr)
		}
	}
	more, _ := takeTop(local, max(0, relaysPerDataCentre-len(relays)), string(place.DataCentre))
	return append(relays, more...)
}

// rootKey is hashed to rank the roots.
const rootKey = "root"

// takeRoots returns the roots, in different data centres if there are several, and the remaining daemons.
func takeRoots(list []Peer) (roots, rest []Peer) {
	roots, rest = takeTop(list, 1, rootKey)
	for len(roots) < rootCount && len(rest) > 0 {
		elsewhere := slices.DeleteFunc(slices.Clone(rest), func(p Peer) bool { return p.Place == roots[0].Place })
		if len(elsewhere) == 0 {
			elsewhere = rest
		}
		next, _ := takeTop(elsewhere, 1, rootKey)
		roots = append(roots, next...)
		rest = without(rest, next[0].Addr)
	}
	return roots, rest
}

// takeTop returns the n daemons with the highest rendezvous scores for key, best first, and the others.
func takeTop(list []Peer, n int, key string) (top, rest []Peer) {
	rest = list
	for range min(n, len(list)) {
		best, score := 0, uint64(0)
		for i, p := range rest {
			s := ident.RendezvousScore(key, p.Addr)
			if i == 0 || s > score || (s == score && p.Addr < rest[best].Addr) {
				best, score = i, s
			}
		}
		top = append(top, rest[best])
		rest = without(rest, rest[best].Addr)
	}
	return top, rest
}

func without(list []Peer, a ident.Addr) []Peer {
	return slices.DeleteFunc(slices.Clone(list), func(p Peer) bool { return p.Addr == a })
}

func contains(list []Peer, a ident.Addr) bool {
	return slices.ContainsFunc(list, func(p Peer) bool { return p.Addr == a })
}

func addrs(list []Peer) []ident.Addr {
	out := make([]ident.Addr, 0, len(list))
	for _, p := range list {
		out = append(out, p.Addr)
	}
	return out
}

// homeRegion returns the region that is nearest to the store by the lowest latency that its daemons saw. The
// links between regions are narrow, and the store's answers are not compressed.
func homeRegion(peers []Peer) ident.Region {
	nearest := map[ident.Region]time.Duration{}
	for _, p := range peers {
		d, ok := nearest[p.Place.Region]
		if !ok || d == 0 || (p.StoreLatency > 0 && p.StoreLatency < d) {
			nearest[p.Place.Region] = p.StoreLatency
		}
	}
	var home ident.Region
	best := time.Duration(-1)
	for r, d := range nearest {
		if d == 0 {
			d = unknownStoreLatency
		}
		if d = d.Truncate(storeDistanceStep); best < 0 || d < best || (d == best && r < home) {
			home, best = r, d
		}
	}
	return home
}

// unknownStoreLatency is assumed for a region in which no daemon has reached the store.
const unknownStoreLatency = time.Hour
