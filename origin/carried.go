package origin

import "hash/maphash"

// maxConnRequests is the maximum number of requests that a connection carries. Their ids take about 20 KB.
const maxConnRequests = 1000

var idSeed = maphash.MakeSeed()

// carriedIDs is the set of the ids of the requests that a connection has carried. It holds hashes, because an id
// may be long. Two ids with the same hash count as one, which costs a new connection.
type carriedIDs map[uint64]struct{}

func (s carriedIDs) add(id string) { s[maphash.String(idSeed, id)] = struct{}{} }

func (s carriedIDs) has(id string) bool {
	_, ok := s[maphash.String(idSeed, id)]
	return ok
}

// full reports whether the connection may carry no further request.
func (s carriedIDs) full() bool { return len(s) >= maxConnRequests }
