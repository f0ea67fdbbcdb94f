package guard

import (
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// limitLog counts the connections of a listener that exceed a limit, and logs each limit at most once per
// event.LimitInterval. Its methods are safe for concurrent use.
type limitLog struct {
	listener string
	log      *event.Log
	stats    *stats.Set
	lines    *event.Limiter[string] // by limit
}

func newLimitLog(listener string, log *event.Log, set *stats.Set) *limitLog {
	return &limitLog{listener: listener, log: log, stats: set, lines: event.NewLimiter[string]()}
}

// record counts a connection that exceeds limit.
func (l *limitLog) record(limit string) {
	l.stats.Inc(l.listener + ".Limited." + limit)
	if suppressed, ok := l.lines.Allow(limit); ok {
		l.log.Emit(event.ConnectionLimited, "Listener", l.listener, "Limit", limit, "Connections", suppressed+1)
	}
}
