package rate

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Keeper grants the tokens of the accounts of all shards whose holders attach to it. Its refill is scaled by the share of
// the voters that are attached, so that several keepers of a shard together stay within the limit. It is not safe for
// concurrent use.
type Keeper struct {
	d       KeeperDeps
	members members
	started time.Duration
	shards  [Shards]*keeperShard
	stopped bool // accepts no further holders
	ended   bool
}

// KeeperDeps are the dependencies of a Keeper.
type KeeperDeps struct {
	Epoch  uint32 // differs between processes at the same address
	Bounds Bounds
	// Limit returns the limit of an account in the configuration in force; false: it has none.
	Limit func(ident.AccountID) (Limit, bool)
}

// maxDaemons limits what an Ask may state as the number of daemons, and maxWanted the tokens of an item.
const (
	maxDaemons = 1 << 20
	maxWanted  = 1 << 20
)

// NewKeeper returns a Keeper whose process starts at now. It grants nothing for moveDelay, in which the tokens that its
// earlier process granted expire and the daemons learn of each other.
func NewKeeper(d KeeperDeps, now Time) *Keeper {
	k := &Keeper{d: d, started: now.Mono}
	k.members.advance(now)
	for i := range k.shards {
		k.shards[i] = newKeeperShard(uint8(i), now.Mono)
	}
	return k
}

// SetView sets what is known of the other daemons.
func (k *Keeper) SetView(v View, now Time) { k.members.setView(v, now) }

// Stop makes the keeper accept no further holders. Those that count here are served until they leave.
func (k *Keeper) Stop() { k.stopped = true }

// End returns the replies that tell the attached holders that the keeper ends. It answers nothing after that.
func (k *Keeper) End() map[ident.Addr][]*Reply {
	k.stopped, k.ended = true, true
	out := map[ident.Addr][]*Reply{}
	for _, s := range k.shards {
		for addr, h := range s.holders {
			if h.ends > 0 {
				out[addr] = append(out[addr], &Reply{Shard: s.shard, Kind: Ended, Epoch: k.d.Epoch})
			}
		}
	}
	return out
}

// Attached returns the number of shards with attached holders.
func (k *Keeper) Attached() int {
	n := 0
	for _, s := range k.shards {
		if s.counted > 0 {
			n++
		}
	}
	return n
}

// Buckets returns the number of accounts with state.
func (k *Keeper) Buckets() int {
	n := 0
	for _, s := range k.shards {
		n += len(s.buckets)
	}
	return n
}

// Tick ends attachments and forgets idle accounts. It is called at least every 100 ms.
func (k *Keeper) Tick(now Time) {
	fast := k.members.advance(now)
	for _, s := range k.shards {
		k.expire(s, now, fast)
	}
}

// Handle answers a message of the holder at from; nil: it needs no answer.
func (k *Keeper) Handle(from ident.Addr, a *Ask, now Time) *Reply {
	if k.ended || int(a.Shard) >= Shards || min(a.Daemons, a.Voters) < 0 || max(a.Daemons, a.Voters) > maxDaemons {
		return nil
	}
	fast := k.members.advance(now)
	s := k.shards[a.Shard]
	k.members.hear(a.Shard, a.Daemons, a.Voters, now.Mono)
	r := &Reply{Shard: a.Shard, Kind: a.Kind, Seq: a.Seq, Epoch: k.d.Epoch, Stamp: fast.Milliseconds()}
	ready := k.members.ready(k.started, now)
	if a.Kind == Hello {
		r.Ready = ready && !k.stopped
		return r
	}
	if a.Epoch != k.d.Epoch {
		return r
	}
	k.expire(s, now, fast)
	if !ready {
		s.detach(from, a.Life)
		k.rescale(s, now)
		return r
	}
	r.Ready = true
	if !s.accept(from, a) {
		return nil
	}
	switch a.Kind {
	case Attach:
		sent := time.Duration(a.Echo+a.Held) * time.Millisecond // or later
		ends := min(sent, fast) + attachLife
		if a.Counts && ends <= fast {
			return r // late; the holder may count elsewhere
		}
		s.attach(from, a, ends, a.Counts && k.members.votes(a.Shard, from))
		k.rescale(s, now)
		k.serve(s, from, a, r, now)
	case Release:
		s.detach(from, a.Life)
		k.rescale(s, now)
		k.serve(s, from, a, r, now)
		if s.overcommitted() {
			r.Wait = grantLife.Milliseconds()
		}
	}
	return r
}

// serve applies the reports of a and grants tokens.
func (k *Keeper) serve(s *keeperShard, from ident.Addr, a *Ask, r *Reply, now Time) {
	for i := range a.Items {
		it := &a.Items[i]
		l, ok := k.d.Limit(it.Account)
		if !ok || l.Rate <= 0 {
			if it.Need > 0 {
				r.Items = append(r.Items, ReplyItem{Index: i, Wait: denyTime.Milliseconds()})
			}
			continue
		}
		b := s.bucket(it.Account, l, k.d.Bounds, now.Mono)
		b.refill(s, now.Mono)
		for _, rep := range it.Lots {
			b.report(lotKey{from, a.Life, rep.Seq}, rep)
		}
		b.returnLate(it.Late, s.share, now.Mono)
		need, spare := min(max(0, it.Need), maxWanted), min(max(0, it.Spare), maxWanted)
		if a.Kind != Attach || need+spare == 0 {
			continue
		}
		granted, wait := b.grant(lotKey{from, a.Life, a.Seq}, need, spare, s.share, now.Mono)
		r.Items = append(r.Items, ReplyItem{Index: i, Granted: granted, Wait: wait.Milliseconds()})
	}
}

// expire ends attachments and updates the share of the shard.
func (k *Keeper) expire(s *keeperShard, now Time, fast time.Duration) {
	if fast-s.checkedAt < checkInterval {
		return
	}
	s.checkedAt = fast // which shows a pause
	s.expire(fast)
	k.rescale(s, now)
	s.forget(now.Mono)
}

// checkInterval is how often the attachments of a shard are checked.
const checkInterval = 40 * time.Millisecond

// rescale updates the share of the voters that are attached.
func (k *Keeper) rescale(s *keeperShard, now Time) {
	s.setShare(float64(s.counted)/float64(max(k.members.voterCount(s.shard), s.counted, 1)), now.Mono)
}
