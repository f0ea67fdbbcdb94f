package peers

import (
	"cmp"
	"slices"
)

func sortServers(list []Server) {
	slices.SortFunc(list, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Addr, b.Addr))
	})
}
