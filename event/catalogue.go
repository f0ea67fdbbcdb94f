package event

import (
	"maps"
	"slices"
)

// catalogue joins the definitions of all groups. The hundreds of an ID give its group:
// 1 daemon, 2 store and acceptance, 3 distribution, 4 membership, 5 caps, 6 calls,
// 7 idempotency keys and suspects, 8 open services.
var catalogue = join(daemonEvents, storeEvents, fanoutEvents, peersEvents, quotaEvents, callsEvents, dedupEvents, meshEvents)

func join(groups ...map[ID]Def) map[ID]Def {
	out := map[ID]Def{}
	for _, g := range groups {
		maps.Copy(out, g)
	}
	return out
}

// IDs returns all defined events in ascending order.
func IDs() []ID {
	return slices.Sorted(maps.Keys(catalogue))
}

// Lookup returns the definition of id.
func Lookup(id ID) (Def, bool) {
	def, ok := catalogue[id]
	return def, ok
}
