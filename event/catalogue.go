package event

import (
	"maps"
	"slices"
)

// catalogue holds the definitions of all events. The hundreds digit of an ID gives its group:
// 1 daemon, 2 store and acceptance, 3 distribution, 4 membership, 5 caps, 6 calls,
// 7 idempotency keys and suspected requests, 8 mesh and platform.
var catalogue = merge(daemonEvents, storeEvents, fanoutEvents, peersEvents, quotaEvents, callsEvents, dedupEvents, meshEvents)

func merge(groups ...map[ID]Def) map[ID]Def {
	out := map[ID]Def{}
	for _, g := range groups {
		maps.Copy(out, g)
	}
	return out
}

// IDs returns the IDs of all defined events in ascending order.
func IDs() []ID {
	return slices.Sorted(maps.Keys(catalogue))
}

// Lookup returns the definition of id, and whether there is one.
func Lookup(id ID) (Def, bool) {
	def, ok := catalogue[id]
	return def, ok
}
