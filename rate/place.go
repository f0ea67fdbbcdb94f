package rate

import (
	"maps"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// place is where a holder stands with the keepers of a shard. Times are on the monotonic clock, except those of asks.
type place struct {
	shard uint8
	pools map[ident.AccountID]*pool
	// dirty is set when an Attach is due at once; lazy, when it is due at the next tick.
	dirty, lazy bool

	keeper     peerState     // the holder counts there; no addr: at none
	countedAt  time.Duration // last message with which the holder counts at keeper; zero: it does not
	unanswered time.Duration // first message to keeper since its last reply; zero: none
	leaving    bool          // keeper is stopping, or gone
	releasing  uint32        // Seq of the Release; zero: none was sent
	// freeAt is from when the holder may attach to another keeper.
	freeAt time.Duration
	next   peerState // a keeper that is asked whether it is ready; no addr: none
	// rivalSince is since when another keeper ranks before the current one; zero: none does.
	rivalSince time.Duration
	moveDelay  time.Duration
	avoid      map[ident.Addr]time.Duration // until when daemons are passed over
	asks       map[uint32]*sentAsk
}

// peerState is what a holder knows of a keeper.
type peerState struct {
	addr    ident.Addr
	epoch   uint32
	stamp   int64
	heardAt time.Duration // when stamp came; zero: no reply yet
	since   time.Duration // first message
	sentAt  time.Duration // last message
	ready   bool
}

// sentAsk is an Attach without a reply.
type sentAsk struct {
	at    time.Duration // on the monotonic clock
	fast  time.Duration // on the fast clock
	items []AskItem
	open  bool // the items count as asked
}

func newPlace(shard uint8) *place {
	return &place{shard: shard, pools: map[ident.AccountID]*pool{}, avoid: map[ident.Addr]time.Duration{}, asks: map[uint32]*sentAsk{}}
}

// top returns the first of the candidates that is not passed over.
func (s *place) top(list []ident.Addr, now time.Duration) ident.Addr {
	for _, a := range list {
		if now >= s.avoid[a] {
			return a
		}
	}
	return ""
}

// lose gives up the keeper. If the holder counts there, it may attach to another one at freeAt.
func (s *place) lose(freeAt, avoidUntil time.Duration) {
	if s.countedAt == 0 {
		freeAt = 0
	}
	s.countedAt = 0
	s.avoid[s.keeper.addr] = avoidUntil
	s.clearAsks()
	s.leaving = false
	s.keeper, s.releasing, s.unanswered, s.rivalSince = peerState{}, 0, 0, 0
	s.freeAt = max(s.freeAt, freeAt)
}

// close stops counting the items of an ask as asked.
func (s *place) close(a *sentAsk) {
	if !a.open {
		return
	}
	a.open = false
	for _, it := range a.items {
		if p := s.pools[it.Account]; p != nil {
			p.asked -= it.Need
			p.spare -= it.Spare
		}
	}
}

// clearAsks forgets all messages without a reply. Tokens that they still bring are not used.
func (s *place) clearAsks() {
	for _, a := range s.asks {
		s.close(a)
	}
	clear(s.asks)
}

// expire forgets old messages and pools.
func (s *place) expire(bounds Bounds, now, fast time.Duration) {
	for seq, a := range s.asks {
		if now-a.at > lostAfter {
			s.close(a)
		}
		if fast-a.fast > grantLife {
			delete(s.asks, seq)
		}
	}
	maps.DeleteFunc(s.avoid, func(_ ident.Addr, until time.Duration) bool { return now >= until })
	for id, p := range s.pools {
		p.expire(fast, s.keeper.addr, s.keeper.epoch)
		s.lazy = s.lazy || p.reportsAtOnce(bounds.settleTime(p.limit), now)
		if p.asked == 0 && p.spare == 0 && p.idle(bounds.Window, now) {
			delete(s.pools, id)
		}
	}
}

// heard records a reply of a keeper.
func (p *peerState) heard(r *Reply, now time.Duration) {
	p.epoch, p.stamp, p.heardAt, p.ready = r.Epoch, r.Stamp, now, r.Ready
}
