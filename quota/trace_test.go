package quota

import (
	"fmt"
	"strings"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// describe returns what each holder and the keeper believe about the units of m, for the trace of a failed check.
func (s *sim) describe(m ident.MemberID) string {
	s.runMu.Lock()
	running := s.running[m]
	s.runMu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "running %d", running)
	for _, addr := range s.addrs() {
		n := s.nodeAt(addr)
		p := n.process.Load()
		fmt.Fprintf(&b, "\n%s dead=%t %s", addr, p.dead(), p.holder.describe(m))
		p.keeper.mu.Lock()
		if t := p.keeper.term; t != nil {
			fmt.Fprintf(&b, "\n  %s", p.keeper.describeTerm(t, m))
		}
		p.keeper.mu.Unlock()
	}
	return b.String()
}

func (h *Holder) describe(m ident.MemberID) string {
	var b strings.Builder
	h.mu.Lock()
	list := h.view.Load().list
	fmt.Fprintf(&b, "keeper=%s epoch=%d state=%d seq=%d failures=%d answered=%s ago confirmed=%t list=%d acked=%d holders=%d prev=%d unclean=%s pins=%d",
		h.keeper, h.epoch, h.state, h.seq, h.failures, h.d.Clock.Since(h.lastAnswered), h.confirmedAt.Load() != nil,
		list.Version, h.ackedVersion, len(list.Holders), len(list.Prev), h.untilLongCallsEnd(), len(h.pins))
	h.mu.Unlock()
	h.forEachAdmission(func(member ident.MemberID, a *admission) {
		if member == m {
			fmt.Fprintf(&b, " base=%d short=%d long=%d limit=%d committed=%d waiting=%d unmet=%d reported=%d",
				h.usableBase(a, m, 0), a.short, a.long, a.limit, a.committed, len(a.queue), a.unmet.peak(), a.reportedUnmet)
		}
	})
	return b.String()
}

// describeTerm is called with k.mu held.
func (k *Keeper) describeTerm(t *term, m ident.MemberID) string {
	var b strings.Builder
	all, pinnable := t.withheld(k.d.Clock.Mono())
	fmt.Fprintf(&b, "term: epoch=%d state=%d valid=%t withheld=%t,%t", t.epoch, t.state, k.termValid(t), all, pinnable)
	if pool := t.pools[m]; pool != nil {
		fmt.Fprintf(&b, " pins=%d stale=%v", len(pool.pins), pool.stale)
		for addr, alloc := range pool.allocs {
			fmt.Fprintf(&b, " %s=%+v", addr, *alloc)
		}
	}
	return b.String()
}
