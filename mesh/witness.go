package mesh

import (
	"errors"
	"io"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/link"
)

// A daemon whose link to another one carried all until that ended has received the notice of each departure that the other
// one acknowledged without the store: it was sent departureWait before. It is a witness: it tells the next process so, which
// is then not in doubt.

const (
	// witnessSilence is how long a link that was reset, and so may have lost what was on its way, may have carried nothing
	// before. It is below departureWait. One that ended in order has lost nothing.
	witnessSilence = departureWait - 100*time.Millisecond
	// maxRestartGap is how long before the start of the next process a link has to have ended, so that no departure was
	// acknowledged in between over other links: departureWait, and the shortest time in which a process is started again.
	maxRestartGap = departureWait + 200*time.Millisecond
)

// linkEnd is the end of a link to a process of a daemon.
type linkEnd struct {
	life ident.Incarnation
	at   time.Time // on the steady clock
}

// recordEnd records that a link has ended, with err, if all has arrived that the other daemon sent until then, but for the
// last witnessSilence.
func (n *Node) recordEnd(c *link.Conn, err error) {
	if !errors.Is(err, io.EOF) && time.Since(c.LastReceived()) > witnessSilence {
		return
	}
	n.mu.Lock()
	addr := n.conns[c]
	n.mu.Unlock()
	n.peers.recordEnd(addr)
}

// recordEnd records that a link to the daemon at addr has ended.
func (r *peerList) recordEnd(addr ident.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.peers[addr]; l != nil && !l.InDoubt {
		l.ended = linkEnd{life: l.Life, at: time.Now()}
	}
}

// sinceEnd returns how long ago a recorded link to the process of the daemon that is known here ended; zero: none did.
func (r *peerList) sinceEnd(addr ident.Addr) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	l := r.peers[addr]
	if l == nil || l.ended.life != l.Life {
		return 0
	}
	return time.Since(l.ended.at)
}

// acceptWitness ends the doubt about departures if another daemon is a witness of the end of the earlier process, since
// which a time has passed.
func (n *Node) acceptWitness(since time.Duration) {
	if since == 0 || since-time.Since(n.started) > maxRestartGap {
		return
	}
	n.mu.Lock()
	n.witnessed = true
	cleared := n.doubt == storeSilent || n.doubt == entryRestored
	if cleared {
		n.doubt = noDoubt
	}
	waiting := n.unconfirmed.latest
	n.mu.Unlock()
	n.ownEntryReadDone()
	if !cleared {
		return
	}
	n.d.Stats.Inc("Server.Witnessed")
	n.publish()
	if waiting.ID != "" {
		_ = n.HandleHeartbeat(waiting) // was valid when it arrived
	}
}
