package emul

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// Store emulates the platform's key-value store in memory. It has revisions, leases on its
// own clock, watches and limits, and can inject faults. Its methods are safe for concurrent use.
type Store struct {
	cfg           StoreConfig
	reads, writes *rate.Limiter

	mu            sync.Mutex
	revision      int64
	era           store.Era // rises with each Restore
	keys          map[string]entry
	log           []change
	compacted     int64 // changes up to this revision are not in log
	leases        map[store.LeaseID]*lease
	lastLease     store.LeaseID
	waiters       map[string]chan struct{} // closed when the key changes
	offset        time.Duration            // of the store's clock from the real one
	counts        map[string]int64
	watching      int
	outage        Outage
	outageChanged chan struct{}
	delay         time.Duration
	faults        []fault
	beforeWrite   func(call, key string)
	onChange      func(store.Value)
}

type entry struct {
	data     []byte
	revision int64
	lease    store.LeaseID
}

// change is a past write or deletion of a key.
type change struct {
	key     string
	entry   entry
	deleted bool
}

// visible returns the entry that callers see after c.
func (c change) visible() entry {
	if c.deleted {
		return entry{}
	}
	return c.entry
}

type lease struct {
	ttl   time.Duration
	end   time.Time
	keys  map[string]struct{}
	timer *time.Timer
}

// NewStore returns an empty Store. Within a testing/synctest bubble it has to be created and
// used inside the bubble.
func NewStore(cfg StoreConfig) *Store {
	return &Store{
		cfg:           cfg,
		era:           1,
		reads:         newLimiter(cfg.ReadRate, cfg.Burst),
		writes:        newLimiter(cfg.WriteRate, cfg.Burst),
		keys:          map[string]entry{},
		leases:        map[store.LeaseID]*lease{},
		waiters:       map[string]chan struct{}{},
		counts:        map[string]int64{},
		outageChanged: make(chan struct{}),
	}
}

func newLimiter(perSecond float64, burst int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(burst, 1))
}

// now returns the time of the store's clock. The caller holds mu.
func (s *Store) now() time.Time { return time.Now().Add(s.offset) }

// put writes a key. The caller holds mu.
func (s *Store) put(key string, data []byte, id store.LeaseID) store.Value {
	s.detachFromLease(key)
	s.revision++
	e := entry{data: slices.Clone(data), revision: s.revision, lease: id}
	s.keys[key] = e
	if l, ok := s.leases[id]; ok {
		l.keys[key] = struct{}{}
	}
	s.recordChange(change{key: key, entry: e})
	return s.value(key, e)
}

// remove deletes an existing key. The caller holds mu.
func (s *Store) remove(key string) {
	s.detachFromLease(key)
	s.revision++
	delete(s.keys, key)
	s.recordChange(change{key: key, entry: entry{revision: s.revision}, deleted: true})
}

func (s *Store) detachFromLease(key string) {
	if l, ok := s.leases[s.keys[key].lease]; ok {
		delete(l.keys, key)
	}
}

func (s *Store) recordChange(c change) {
	s.log = append(s.log, c)
	if n := len(s.log) - s.cfg.HistorySize; n > 0 {
		s.compacted = s.log[n-1].entry.revision
		s.log = slices.Delete(s.log, 0, n)
	}
	if s.onChange != nil {
		s.onChange(s.value(c.key, c.visible()))
	}
	for _, key := range []string{c.key, anyKey} {
		if ch, ok := s.waiters[key]; ok {
			close(ch)
			delete(s.waiters, key)
		}
	}
}

// waiter returns a channel that is closed when key changes. The caller holds mu.
func (s *Store) waiter(key string) <-chan struct{} {
	ch, ok := s.waiters[key]
	if !ok {
		ch = make(chan struct{})
		s.waiters[key] = ch
	}
	return ch
}

// value returns the value of a key with the entry e. The caller holds mu.
func (s *Store) value(key string, e entry) store.Value {
	return store.Value{Key: key, Data: slices.Clone(e.data), Revision: e.revision, Era: s.era}
}

// position returns the position of the last change. The caller holds mu.
func (s *Store) position() store.Position { return store.Position{Era: s.era, Revision: s.revision} }
