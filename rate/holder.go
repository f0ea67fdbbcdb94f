package rate

import (
	"slices"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Holder spends tokens of accounts for the calls that enter at a daemon. It is not safe for concurrent use.
type Holder struct {
	d       HolderDeps
	members members
	started time.Duration
	places  [Shards]*place
	ranked  [Shards][]ident.Addr
	active  [Shards]bool
	seq     uint32
	counts  Counts
}

// HolderDeps are the dependencies of a Holder.
type HolderDeps struct {
	Life   uint32 // differs between processes at the same address
	Bounds Bounds
	Random func() float64 // in [0, 1)
}

// Counts are the numbers of decisions and messages of a Holder since its start.
type Counts struct {
	Spent, Returned, Exceeded, Unavailable, Allowance, Granted, Asks, Lost int64
}

// NewHolder returns a Holder whose process starts at now.
func NewHolder(d HolderDeps, now Time) *Holder {
	h := &Holder{d: d, started: now.Mono}
	h.members.advance(now)
	for i := range h.places {
		h.places[i] = newPlace(uint8(i))
	}
	return h
}

// Counts returns the counts so far.
func (h *Holder) Counts() Counts { return h.counts }

// SetView sets what is known of the other daemons.
func (h *Holder) SetView(v View, now Time) {
	if !h.members.setView(v, now) {
		return
	}
	h.ranked = plan(v.Able)
	for _, s := range h.places {
		s.leaving = s.keeper.addr != "" && !slices.Contains(v.Able, s.keeper.addr)
	}
}

// SetAccounts sets the shards that have accounts with a limit. The holder counts at their keepers also without calls.
func (h *Holder) SetAccounts(active [Shards]bool) { h.active = active }

// Take decides about a call of an account.
func (h *Holder) Take(id ident.AccountID, l Limit, now Time) Verdict {
	fast := h.members.advance(now)
	s := h.places[ShardOf(id)]
	p := s.pools[id]
	if p == nil {
		p = &pool{id: id}
		s.pools[id] = p
	}
	p.limit, p.lastUsed = l, now.Mono
	p.demand.add(now.Mono)
	if t, ok := p.take(now, fast); ok {
		s.lazy = s.lazy || p.low(now.Mono, fast)
		h.counts.Spent++
		return Verdict{Decision: Admitted, Ticket: t}
	}
	if now.Mono < p.deniedUntil {
		return h.exceeded(p, now)
	}
	if !h.reachable(s, now) {
		return h.withoutKeeper(s, p, now)
	}
	p.waiting++
	s.dirty = true
	return Verdict{Decision: Pending}
}

// Retake decides again about a call that was Pending. last means that it waits no longer.
func (h *Holder) Retake(id ident.AccountID, now Time, last bool) Verdict {
	fast := h.members.advance(now)
	s := h.places[ShardOf(id)]
	p := s.pools[id]
	if t, ok := p.take(now, fast); ok {
		p.waiting--
		h.counts.Spent++
		return Verdict{Decision: Admitted, Ticket: t}
	}
	switch {
	case now.Mono < p.deniedUntil:
		p.waiting--
		return h.exceeded(p, now)
	case last && p.deniedAt != 0 && now.Mono-p.deniedAt < maxDenyTime && h.reachable(s, now):
		// The account was over its limit a moment ago, and its keeper is busy with it.
		p.waiting--
		p.deniedUntil = now.Mono + denyTime
		return h.exceeded(p, now)
	case last || !h.reachable(s, now):
		p.waiting--
		return h.withoutKeeper(s, p, now)
	}
	return Verdict{Decision: Pending}
}

// Leave ends the wait of a call that was Pending and whose caller has left.
func (h *Holder) Leave(id ident.AccountID) { h.places[ShardOf(id)].pools[id].waiting-- }

// Return gives back the token of a call that did not run.
func (h *Holder) Return(id ident.AccountID, t Ticket, now Time) {
	fast := h.members.advance(now)
	h.counts.Returned++
	p := h.places[ShardOf(id)].pools[id]
	if p == nil {
		return
	}
	if t.seq != 0 {
		p.giveBack(t, fast)
		return
	}
	if i := slices.Index(p.allowance, t.used); i >= 0 {
		p.allowance = slices.Delete(p.allowance, i, i+1)
	}
}

// Charge counts an execution without a token, such as that of a repeated attempt. It is paid with later tokens.
func (h *Holder) Charge(id ident.AccountID) {
	if p := h.places[ShardOf(id)].pools[id]; p != nil {
		p.debt++
	}
}

func (h *Holder) exceeded(p *pool, now Time) Verdict {
	h.counts.Exceeded++
	return Verdict{Decision: Exceeded, RetryAfter: p.deniedUntil - now.Mono}
}

// withoutKeeper decides about a call while no keeper answers. A process that has just started has no allowance, since
// the one before it may have spent it.
func (h *Holder) withoutKeeper(s *place, p *pool, now Time) Verdict {
	n := h.d.Bounds.allowance(p.limit, h.members.fleet.size())
	if now.Mono-h.started > h.d.Bounds.Window && p.useAllowance(n, h.d.Bounds.Window, now.Mono) {
		h.counts.Allowance++
		return Verdict{Decision: Admitted, Ticket: Ticket{used: now.Mono}}
	}
	h.counts.Unavailable++
	return Verdict{Decision: Unavailable, RetryAfter: max(unavailableRetry, s.freeAt-now.Mono)}
}

// reachable reports whether the holder expects a keeper's answer within MaxWait.
func (h *Holder) reachable(s *place, now Time) bool {
	if h.members.view.stale() {
		return false
	}
	if s.keeper.addr != "" {
		return s.unanswered == 0 || now.Mono-s.unanswered < MaxWait
	}
	return s.freeAt-now.Mono < MaxWait && s.next.addr != "" && (s.next.ready || now.Mono-s.next.sentAt < MaxWait)
}

// Stale reports whether the daemon's state is too old for it to get tokens.
func (h *Holder) Stale() bool { return h.members.view.stale() }
