package guard

import (
	"sync"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/origin"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

const (
	// IdentifyTimeout is how long a link may be open before its daemon has identified itself. Daemons do that first; it
	// spans a full link between regions and stops of both processes by their processor quotas.
	IdentifyTimeout = 10 * time.Second
	// SmallFrameBytes is the size up to which a frame needs no memory of LinksConfig.FrameMemory.
	SmallFrameBytes = 4 << 10
)

// Limits of links besides those of connections, as counters name them.
const (
	OverTimeout     = "Timeout"
	OverFrameMemory = "FrameMemory"
)

// LinksConfig holds the limits of unidentified links.
type LinksConfig[C comparable] struct {
	// Name is that of the listener in counters.
	Name string
	// Most limits their number; zero: no limit.
	Most int
	// FrameMemory limits the memory of the frames that are being read from them, in bytes.
	FrameMemory int64
	// Close closes a link.
	Close func(c C)
	// From returns the address of the other side, for log events.
	From func(c C) string
}

// Links holds the accepted links whose daemon has not identified itself. Anybody can open such links, so their number, time
// and memory are limited. Links to known daemons have no limit here: they must not break under load. Its methods are safe
// for concurrent use.
type Links[C comparable] struct {
	cfg    LinksConfig[C]
	memory *origin.BodyBudget
	log    *event.Log
	stats  *stats.Set

	lines *event.Limiter[struct{}] // one kind, whatever the limit

	mu    sync.Mutex
	links map[C]*unidentified
}

// unidentified is the state of one link.
type unidentified struct {
	accepted time.Time
	timeout  *time.Timer    // closes the link; nil until it has been set
	frame    *origin.Memory // of the frame that is being read
}

// NewLinks returns an empty Links.
func NewLinks[C comparable](cfg LinksConfig[C], log *event.Log, set *stats.Set) *Links[C] {
	return &Links[C]{cfg: cfg, memory: origin.NewBodyBudget(cfg.FrameMemory), log: log, stats: set, lines: event.NewLimiter[struct{}](), links: map[C]*unidentified{}}
}

// Add adds an accepted link, and closes it if its daemon does not identify itself in time. Above the limit it closes the
// oldest one.
func (l *Links[C]) Add(c C) {
	if oldest, ok := l.add(c, time.Now()); ok {
		l.close(oldest, OverConnections)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if st, ok := l.links[c]; ok {
		st.timeout = time.AfterFunc(IdentifyTimeout, func() {
			if l.Remove(c) {
				l.close(c, OverTimeout)
			}
		})
	}
}

// add adds c. Above the limit it removes and returns the oldest one.
func (l *Links[C]) add(c C, now time.Time) (oldest C, over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links[c] = &unidentified{accepted: now, frame: l.memory.Hold()}
	if l.cfg.Most == 0 || len(l.links) <= l.cfg.Most {
		return oldest, false
	}
	for o, st := range l.links {
		if o != c && (!over || st.accepted.Before(l.links[oldest].accepted)) {
			oldest, over = o, true
		}
	}
	l.removeLocked(oldest)
	return oldest, over
}

// Remove removes a link whose daemon is known now, or that has ended. It reports whether it was one of them.
func (l *Links[C]) Remove(c C) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.removeLocked(c)
}

func (l *Links[C]) removeLocked(c C) bool {
	st, ok := l.links[c]
	if ok {
		st.frame.Release()
		if st.timeout != nil {
			st.timeout.Stop() // it would keep the link in memory
		}
		delete(l.links, c)
	}
	return ok
}

// Hold holds n bytes for a frame that is being read from c; negative: releases what the frame holds. It reports false if c
// is unidentified and no memory is left.
func (l *Links[C]) Hold(c C, n int64) bool {
	if l.hold(c, n) {
		return true
	}
	l.record(c, OverFrameMemory)
	return false
}

func (l *Links[C]) hold(c C, n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	st, ok := l.links[c]
	switch {
	case !ok:
		return true
	case n <= 0:
		st.frame.Release()
		return true
	case n <= SmallFrameBytes:
		return true
	}
	return st.frame.Take(n)
}

func (l *Links[C]) close(c C, limit string) {
	l.cfg.Close(c)
	l.record(c, limit)
}

// record counts and logs a link that is closed since it exceeds limit.
func (l *Links[C]) record(c C, limit string) {
	l.stats.Inc(l.cfg.Name + ".Limited." + limit)
	if suppressed, ok := l.lines.Allow(struct{}{}); ok {
		l.log.Emit(event.LinkLimited, "Limit", limit, "Links", suppressed+1, "From", l.cfg.From(c))
	}
}
