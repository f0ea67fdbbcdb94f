package rate

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// keeperShard is the state of a shard at a keeper.
type keeperShard struct {
	shard     uint8
	holders   map[ident.Addr]*attachment
	counted   int // attached voters
	share     float64
	integral  float64       // of share over time, in seconds
	changedAt time.Duration // up to when integral counts
	checkedAt time.Duration // on the fast clock
	// emptyAt is the integral at which buckets without state were last empty, at the latest.
	emptyAt float64
	buckets map[ident.AccountID]*bucket
}

// attachment is a holder that is or was attached to a keeper.
type attachment struct {
	life    uint32
	seq     uint32 // of the last message; earlier ones are ignored
	ends    time.Duration
	counted bool
}

func newKeeperShard(shard uint8, now time.Duration) *keeperShard {
	return &keeperShard{shard: shard, holders: map[ident.Addr]*attachment{}, changedAt: now, buckets: map[ident.AccountID]*bucket{}}
}

// accept reports whether a is later than all messages of its holder so far.
func (s *keeperShard) accept(from ident.Addr, a *Ask) bool {
	h := s.holders[from]
	if h == nil || h.life != a.Life {
		return true
	}
	if a.Seq <= h.seq {
		return false
	}
	h.seq = a.Seq
	return true
}

// attach attaches the holder at from until ends on the fast clock.
func (s *keeperShard) attach(from ident.Addr, a *Ask, ends time.Duration, counted bool) {
	h := s.holders[from]
	if h == nil {
		h = &attachment{}
		s.holders[from] = h
	}
	s.count(h, counted)
	h.life, h.seq, h.ends = a.Life, a.Seq, ends
}

func (s *keeperShard) count(h *attachment, counted bool) {
	switch {
	case counted && !h.counted:
		s.counted++
	case !counted && h.counted:
		s.counted--
	}
	h.counted = counted
}

// detach stops counting the holder at from.
func (s *keeperShard) detach(from ident.Addr, life uint32) {
	if h := s.holders[from]; h != nil && h.life == life {
		s.count(h, false)
		h.ends = 0
	}
}

// expire ends attachments. They are remembered for a while, so that their late messages are ignored.
func (s *keeperShard) expire(fast time.Duration) {
	for addr, h := range s.holders {
		if fast >= h.ends {
			s.count(h, false)
		}
		if fast >= h.ends+attachLife && h.ends > 0 {
			delete(s.holders, addr)
		}
		if h.ends == 0 {
			h.ends = fast
		}
	}
}

// setShare changes the share from now on.
func (s *keeperShard) setShare(share float64, now time.Duration) {
	s.integral += s.share * max(0, now-s.changedAt).Seconds()
	s.changedAt = max(s.changedAt, now)
	if share == s.share {
		return
	}
	lower := share < s.share
	if lower {
		for _, b := range s.buckets {
			b.refill(s, now)
		}
		// Buckets without state would have to be lowered too.
		s.emptyAt = s.integral
	}
	s.share = share
	if lower {
		for _, b := range s.buckets {
			b.clip(share)
		}
	}
}

// integralAt returns the integral of the share up to now.
func (s *keeperShard) integralAt(now time.Duration) float64 {
	return s.integral + s.share*max(0, now-s.changedAt).Seconds()
}

// bucket returns the bucket of an account with the limit l.
func (s *keeperShard) bucket(id ident.AccountID, l Limit, bounds Bounds, now time.Duration) *bucket {
	b := s.buckets[id]
	if b == nil {
		b = newBucket(l, bounds, s.emptyAt)
		s.buckets[id] = b
	}
	b.usedAt = now
	if b.limit != l {
		b.refill(s, now)
		b.limit = l
		b.clip(s.share)
	}
	return b
}

// forget drops buckets that have not been used for a while and are full, which are as good as those without state.
func (s *keeperShard) forget(now time.Duration) {
	for id, b := range s.buckets {
		if now-b.usedAt <= bucketIdle {
			continue
		}
		if b.refill(s, now); b.parked == 0 && b.level >= b.bounds.capacity(b.limit)*s.share {
			delete(s.buckets, id)
		}
	}
}

// overcommitted reports whether holders have more tokens of an account than the share allows.
func (s *keeperShard) overcommitted() bool {
	for _, b := range s.buckets {
		if float64(b.parked) > b.bounds.capacity(b.limit)*s.share {
			return true
		}
	}
	return false
}
