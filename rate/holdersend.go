package rate

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Poll returns the messages that are due because of calls that wait. It is called after Take returned Pending.
func (h *Holder) Poll(now Time) []Outgoing {
	var out []Outgoing
	for _, s := range h.places {
		if s.dirty {
			out = h.step(s, now, out)
		}
	}
	return out
}

// Tick returns all messages that are due. It is called several times a second.
func (h *Holder) Tick(now Time) []Outgoing {
	var out []Outgoing
	fast := h.members.advance(now)
	for _, s := range h.places {
		s.expire(h.d.Bounds, now.Mono, fast)
		out = h.step(s, now, out)
	}
	return out
}

// Stop returns messages that leave all keepers and hand all tokens back. No call must follow.
func (h *Holder) Stop(now Time) []Outgoing {
	var out []Outgoing
	fast := h.members.advance(now)
	for _, s := range h.places {
		if s.keeper.addr != "" {
			out = append(out, h.release(s, now, fast))
		}
	}
	return out
}

// step advances the state of a shard and appends the messages that are due.
func (h *Holder) step(s *place, now Time, out []Outgoing) []Outgoing {
	fast := h.members.advance(now)
	if (!h.active[s.shard] && s.keeper.addr == "") || h.members.view.stale() {
		return out
	}
	top := s.top(h.ranked[s.shard], now.Mono)
	if s.keeper.addr != "" && s.unanswered != 0 && now.Mono-s.unanswered > lostAfter {
		h.counts.Lost++
		s.lose(s.countedAt+moveDelay, now.Mono+avoidTime)
		top = s.top(h.ranked[s.shard], now.Mono)
	}
	if s.keeper.addr == "" {
		return h.seek(s, top, now, fast, out)
	}
	if s.releasing != 0 {
		return out
	}
	if h.shouldMove(s, top, now) {
		if s.next.addr == top && s.next.ready && now.Mono-s.next.heardAt < renewInterval {
			return append(out, h.release(s, now, fast))
		}
		out = h.greet(s, top, now, out)
	}
	quiet := now.Mono - s.keeper.sentAt
	switch {
	case s.unanswered != 0 && now.Mono-s.unanswered >= MaxWait:
		// An Attach would prolong the time in which the holder must not go to another keeper.
		if quiet >= resendInterval {
			out = append(out, h.toKeeper(s, h.ask(s, Hello), now))
		}
	case s.dirty || quiet >= h.renewInterval(s) || (s.lazy && quiet >= lazyInterval):
		out = h.attach(s, now, fast, out)
	}
	return out
}

// counting reports whether the holder counts at its keeper. An earlier process at its address may still count at
// another one at first, and a daemon that is stopping is not known to others as a voter.
func (h *Holder) counting(s *place, now Time) bool {
	return now.Mono-h.started >= moveDelay && !h.members.leaving && h.members.votes(s.shard, h.members.view.Self)
}

func (h *Holder) renewInterval(s *place) time.Duration {
	if h.members.votes(s.shard, h.members.view.Self) {
		return renewInterval
	}
	return visitInterval
}

// lazyInterval is the least time between two messages to a keeper that no call waits for.
const lazyInterval = 50 * time.Millisecond

// seek looks for a keeper and attaches to it as soon as that is allowed.
func (h *Holder) seek(s *place, top ident.Addr, now Time, fast time.Duration, out []Outgoing) []Outgoing {
	if s.next.ready && s.next.addr == top && now.Mono-s.next.heardAt < attachLife/2 {
		if now.Mono < s.freeAt {
			return out
		}
		s.keeper, s.next = s.next, peerState{}
		return h.attach(s, now, fast, out)
	}
	return h.greet(s, top, now, out)
}

// greet asks a daemon whether it is ready.
func (h *Holder) greet(s *place, to ident.Addr, now Time, out []Outgoing) []Outgoing {
	if to == "" {
		return out
	}
	switch {
	case s.next.addr != to:
		s.next = peerState{addr: to, since: now.Mono}
	case now.Mono-s.next.sentAt < resendInterval:
		return out
	case s.next.heardAt == 0 && now.Mono-s.next.since > lostAfter:
		s.avoid[to] = now.Mono + avoidTime
		s.next = peerState{}
		return out
	}
	s.next.sentAt = now.Mono
	return append(out, Outgoing{To: to, Ask: h.ask(s, Hello)})
}

// shouldMove reports whether the holder is to leave its keeper for top.
func (h *Holder) shouldMove(s *place, top ident.Addr, now Time) bool {
	if top == "" || top == s.keeper.addr {
		s.rivalSince = 0
		return false
	}
	if s.rivalSince == 0 {
		s.rivalSince = now.Mono
		s.moveDelay = moveAfter + time.Duration(2*h.d.Random()*float64(moveAfter))
	}
	if s.leaving {
		return now.Mono-s.rivalSince >= s.moveDelay/leaveFactor
	}
	return now.Mono-s.rivalSince >= s.moveDelay
}

func (h *Holder) ask(s *place, k Kind) *Ask {
	h.seq++
	h.counts.Asks++
	return &Ask{Shard: s.shard, Kind: k, Seq: h.seq, Life: h.d.Life, Daemons: len(h.members.view.Able), Voters: h.members.known[s.shard]}
}

// toKeeper completes a message to the keeper at which the holder counts.
func (h *Holder) toKeeper(s *place, a *Ask, now Time) Outgoing {
	a.Epoch, a.Echo, a.Held = s.keeper.epoch, s.keeper.stamp, (now.Mono - s.keeper.heardAt).Milliseconds()
	s.keeper.sentAt = now.Mono
	if s.unanswered == 0 {
		s.unanswered = now.Mono
	}
	return Outgoing{To: s.keeper.addr, Ask: a}
}

// attach renews the attachment, asks for tokens and reports what became of earlier ones.
func (h *Holder) attach(s *place, now Time, fast time.Duration, out []Outgoing) []Outgoing {
	a := h.ask(s, Attach)
	brief := s.dirty || s.lazy // reports of other accounts wait for the next renewal
	s.dirty, s.lazy = false, false
	for id, p := range s.pools {
		it := AskItem{Account: id}
		settle := h.d.Bounds.settleTime(p.limit)
		if it.Need, it.Spare = p.wants(now, fast); brief && it.Need == 0 && it.Spare == 0 && !p.reportsAtOnce(settle, now.Mono) {
			continue
		}
		it.Lots = s.reports(p, now.Mono, settle)
		it.Late, p.late = p.late, 0
		if it.Need > 0 || it.Spare > 0 || it.Late > 0 || len(it.Lots) > 0 {
			a.Items = append(a.Items, it)
			p.asked += it.Need
			p.spare += it.Spare
		}
	}
	if a.Counts = h.counting(s, now); a.Counts {
		s.countedAt = now.Mono
	}
	s.asks[a.Seq] = &sentAsk{at: now.Mono, fast: fast, items: a.Items, open: true}
	return append(out, h.toKeeper(s, a, now))
}

// release leaves the keeper.
func (h *Holder) release(s *place, now Time, fast time.Duration) Outgoing {
	a := h.ask(s, Release)
	for id, p := range s.pools {
		for _, l := range p.lots {
			l.back += l.left
			l.left = 0
		}
		if lots := s.reports(p, now.Mono, 0); len(lots) > 0 {
			a.Items = append(a.Items, AskItem{Account: id, Lots: lots})
		}
		p.lots = nil
	}
	s.releasing = a.Seq
	s.clearAsks()
	return h.toKeeper(s, a, now)
}

// reports returns what is to be reported to the current keeper about the tokens of p.
func (s *place) reports(p *pool, now, settle time.Duration) []LotReport {
	var out []LotReport
	for _, l := range p.lots {
		if l.keeper != s.keeper.addr || l.epoch != s.keeper.epoch {
			continue
		}
		if r, ok := l.report(now, settle); ok {
			out = append(out, r)
		}
	}
	return out
}
