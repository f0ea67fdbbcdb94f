package rate

import (
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// HandleReply applies the reply of the keeper at from, and returns the accounts whose waiting calls are to be decided
// again with Retake.
func (h *Holder) HandleReply(from ident.Addr, r *Reply, now Time) []ident.AccountID {
	if int(r.Shard) >= Shards {
		return nil
	}
	fast := h.members.advance(now)
	s := h.places[r.Shard]
	if from == s.next.addr && r.Kind == Hello {
		s.next.heard(r, now.Mono)
		if !r.Ready {
			s.avoid[from] = now.Mono + avoidTime
			s.next = peerState{}
		}
		s.dirty = s.dirty || r.Ready
		return nil
	}
	if r.Kind == Hello && from == s.keeper.addr && r.Epoch == s.keeper.epoch && s.releasing == 0 {
		s.keeper.heard(r, now.Mono)
		s.unanswered = 0
		s.dirty = true // for what was not answered
		return nil
	}
	if r.Kind == Ended && from == s.keeper.addr && r.Epoch == s.keeper.epoch {
		s.lose(now.Mono+grantLife, now.Mono+avoidTime)
		return s.waitingAccounts()
	}
	if from != s.keeper.addr || (s.asks[r.Seq] == nil && (r.Seq != s.releasing || r.Seq == 0)) {
		return nil
	}
	switch {
	case r.Epoch != s.keeper.epoch:
		// The process that counted the holder has ended, but what it granted to others lives on.
		s.lose(now.Mono+grantLife, now.Mono)
		return s.waitingAccounts()
	case r.Seq == s.releasing:
		s.lose(now.Mono+time.Duration(r.Wait)*time.Millisecond, now.Mono+avoidTime)
		s.dirty = true
		return nil
	case !r.Ready:
		// It may be ready again when it gets later messages.
		s.lose(s.countedAt+moveDelay, now.Mono+avoidTime)
		return s.waitingAccounts()
	}
	s.keeper.heard(r, now.Mono)
	s.unanswered = 0
	return h.receive(s, from, r, now, fast)
}

// receive stores the tokens of a reply.
func (h *Holder) receive(s *place, from ident.Addr, r *Reply, now Time, fast time.Duration) []ident.AccountID {
	a := s.asks[r.Seq]
	delete(s.asks, r.Seq)
	s.close(a)
	var wake []ident.AccountID
	// The keeper answers no items of a message that arrived late.
	s.dirty = s.dirty || (len(r.Items) == 0 && len(s.waitingAccounts()) > 0)
	for _, it := range r.Items {
		if it.Index < 0 || it.Index >= len(a.items) || it.Granted < 0 {
			continue
		}
		p := s.pools[a.items[it.Index].Account]
		if p == nil {
			continue
		}
		if it.Granted > 0 {
			h.counts.Granted += int64(it.Granted)
			p.add(&lot{seq: r.Seq, keeper: from, epoch: r.Epoch, ends: a.fast + grantLife, left: it.Granted}, now.Mono)
			p.deniedUntil = 0
		}
		if it.Wait > 0 {
			p.deniedAt = now.Mono
			p.deniedUntil = now.Mono + min(maxDenyTime, time.Duration(it.Wait)*time.Millisecond)
		}
		if p.waiting > 0 {
			wake = append(wake, p.id)
		}
	}
	return wake
}

// waitingAccounts returns the accounts that have calls without a token.
func (s *place) waitingAccounts() []ident.AccountID {
	var out []ident.AccountID
	for id, p := range s.pools {
		if p.waiting > 0 {
			out = append(out, id)
		}
	}
	return out
}
