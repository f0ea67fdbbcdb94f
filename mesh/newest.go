package mesh

import (
	"sync/atomic"
	"time"

	"github.com/marjoramcroft/marjoramcroft/delay"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// newestVersion is the highest configuration version that other daemons have shown. It is safe for concurrent use.
type newestVersion struct {
	version atomic.Uint64
	at      delay.AtomicTime // when another daemon first showed it
}

// observe records that another daemon has version v.
func (s *newestVersion) observe(v ident.Version, now time.Time) {
	for {
		old := s.version.Load()
		if uint64(v) <= old {
			return
		}
		if s.version.CompareAndSwap(old, uint64(v)) {
			s.at.Store(now)
			return
		}
	}
}

// above returns when a version above own was first shown. It reports false if none was.
func (s *newestVersion) above(own ident.Version) (time.Time, bool) {
	return s.at.Load(), s.version.Load() > uint64(own)
}
