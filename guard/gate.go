package guard

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// evictShare is the part of the connections, one in so many, that are closed at once for new ones, so that the search
	// for them costs little for each.
	evictShare = 16
	// refusalTimeout limits the write of a refusal, which fits into the buffer of an open connection.
	refusalTimeout = 100 * time.Millisecond
	// lingerShare is the part of the connections, one in so many, that may wait at a time for the other side to read a
	// refusal.
	lingerShare = 4
	// lingerBytes limits what is read from a connection after a refusal.
	lingerBytes = 1 << 20
)

// gate limits the connections of a listener. Its methods are safe for concurrent use.
type gate struct {
	full      string     // refusal of a connection
	transfers *Transfers // nil: none
	limit     int64
	closer    *closer
	log       *limitLog
	open      atomic.Int64
	lingering atomic.Int64
}

// admit reports whether nc may be served. For a new connection it closes those without a request in progress: first those
// that never had one, the oldest first. If there are none, it refuses nc, and cuts a slow transfer for the next one.
func (g *gate) admit(nc net.Conn) bool {
	if g.open.Add(1) <= g.limit {
		return true
	}
	for range g.closer.evict(int(max(1, g.limit/evictShare))) {
		g.log.record(OverEvicted)
	}
	if g.open.Load() <= g.limit {
		return true
	}
	g.open.Add(-1)
	g.transfers.Reclaim(1) // of any memory: one slow transfer has the place of one connection
	g.log.record(OverConnections)
	writeRaw(nc, g.full)
	_ = nc.Close()
	return false
}

// leave records that a connection is closed.
func (g *gate) leave() { g.open.Add(-1) }

// startLinger reports whether a connection may wait for the other side to read a refusal. endLinger must follow.
func (g *gate) startLinger() bool {
	if g.lingering.Add(1) <= max(1, g.limit/lingerShare) {
		return true
	}
	g.lingering.Add(-1)
	return false
}

func (g *gate) endLinger() { g.lingering.Add(-1) }

// writeRaw writes an answer that is written instead of net/http's. If it fails, the connection is closed anyway.
func writeRaw(nc net.Conn, answer string) {
	if nc.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = io.WriteString(nc, answer)
	}
}
