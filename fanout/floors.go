package fanout

import (
	"hash/maphash"
	"sync"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// floorShardCount is the number of independently locked shards, to reduce lock contention.
const floorShardCount = 16

// maxFloorsPerShard limits the addresses kept per shard: 4,096 in total, twice the number of
// daemons planned for. When a shard is full, an arbitrary address is evicted; its floor is then
// the peer's own Version, as for an unknown address.
const maxFloorsPerShard = 256

// floors keeps the highest Version reported by each address.
type floors struct {
	seed   maphash.Seed
	shards [floorShardCount]floorShard
}

type floorShard struct {
	mu sync.Mutex
	m  map[ident.Addr]ident.Version
}

func newFloors() *floors {
	return &floors{seed: maphash.MakeSeed()}
}

func (f *floors) shard(addr ident.Addr) *floorShard {
	return &f.shards[maphash.String(f.seed, string(addr))%floorShardCount]
}

func (f *floors) record(addr ident.Addr, v ident.Version) {
	s := f.shard(addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = map[ident.Addr]ident.Version{}
	}
	old, ok := s.m[addr]
	if !ok && len(s.m) >= maxFloorsPerShard {
		for k := range s.m {
			delete(s.m, k)
			break
		}
	}
	s.m[addr] = max(old, v)
}

func (f *floors) get(addr ident.Addr) (ident.Version, bool) {
	s := f.shard(addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[addr]
	return v, ok
}
