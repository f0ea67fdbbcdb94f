package accept

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// checkHeads checks each head written since the last call against its predecessor.
func (m *model) checkHeads(t *testing.T) {
	m.mu.Lock()
	written := slices.Clone(m.written[m.checked:])
	m.checked = len(m.written)
	m.mu.Unlock()
	for _, v := range written {
		head, err := DecodeHead(v)
		if err != nil {
			m.t.Fatalf("head: %v", err)
		}
		prev := m.heads[len(m.heads)-1]
		if head.Version != prev.Version+1 {
			m.t.Fatalf("version %d follows %d", head.Version, prev.Version)
		}
		if _, ok := prev.Accepted(head.Change); ok || len(head.Changes) != len(prev.Changes)+1 {
			m.t.Fatalf("change %s accepted twice", head.Change)
		}
		a, err := newFaultFreeAcceptor(t, m.emul).Load(t.Context(), head)
		if err != nil {
			m.t.Fatalf("load version %d: %v", head.Version, err)
		}
		m.checkRows(head, prev, a)
		m.heads, m.agreements = append(m.heads, head), append(m.agreements, a)
	}
}

// checkRows checks that head differs from prev by exactly the rows that its proposal changes, and that
// the proposal does not overlap with a change accepted since its base.
func (m *model) checkRows(head, prev Head, cur *agree.Agreement) {
	p := m.proposals[head.Change]
	prevAgreement := m.agreements[prev.Version]
	baseVersion := p.Base
	if !p.hasBase() {
		baseVersion = prev.SheetVersion
		if prev.SheetVersion > 0 && head.Time.Sub(prev.SheetTime) < 15*time.Minute {
			m.t.Fatalf("sheet %s without base accepted %s after another", p.ID, head.Time.Sub(prev.SheetTime))
		}
	}
	base := m.agreements[baseVersion]
	rows := p.Change.Put
	if p.Kind == KindRestore {
		rows = m.agreements[p.Restore].Rows()
	}
	stated := map[agree.Key]agree.Row{}
	for _, r := range rows {
		stated[r.Key()] = r
	}
	keys := map[agree.Key]bool{}
	for _, a := range []*agree.Agreement{base, prevAgreement, cur} {
		for _, r := range a.Rows() {
			keys[r.Key()] = true
		}
	}
	for k := range stated {
		keys[k] = true
	}
	type optionalRow struct {
		row agree.Row
		ok  bool
	}
	rowIn := func(a *agree.Agreement) func(agree.Key) optionalRow {
		return func(k agree.Key) optionalRow { r, ok := a.Row(k); return optionalRow{r, ok} }
	}
	inBase, inPrev, inCur := rowIn(base), rowIn(prevAgreement), rowIn(cur)
	for k := range keys {
		row, ok := stated[k]
		proposed := optionalRow{row, ok}
		if !ok && p.Kind == KindCorrection {
			if inPrev(k) != inCur(k) {
				m.t.Fatalf("version %d: correction %s changed %s, which it does not state", head.Version, p.ID, k)
			}
			continue
		}
		changedSince := inPrev(k) != inBase(k)
		unchangedInSheet := p.Kind == KindSheet && p.hasBase() && proposed == inBase(k)
		switch {
		case changedSince && unchangedInSheet:
			if inCur(k) != inPrev(k) {
				m.t.Fatalf("version %d: sheet %s undid the later change of %s", head.Version, p.ID, k)
			}
		case changedSince && proposed != inPrev(k):
			m.t.Fatalf("version %d: %s overlaps with a later change of %s", head.Version, p.ID, k)
		case inCur(k) != proposed:
			m.t.Fatalf("version %d: %s does not have the value that %s states", head.Version, k, p.ID)
		}
	}
}

// checkOutcomes compares the results that Propose returned with the accepted changes, and the history
// with the heads.
func (m *model) checkOutcomes(t *testing.T) {
	accepted := map[ident.ChangeID]ident.Version{}
	for _, h := range m.heads[1:] {
		accepted[h.Change] = h.Version
	}
	for id, o := range m.outcomes {
		v, ok := accepted[id]
		switch {
		case o.err == nil && o.unchanged:
			from := m.agreements[m.proposals[id].Restore]
			if ok || !agree.Diff(m.agreements[o.version], from).IsEmpty() {
				m.t.Fatalf("%s was reported as equal to version %d; accepted in version %d", id, o.version, v)
			}
		case o.err == nil && v != o.version:
			m.t.Fatalf("%s was reported as accepted in version %d, not %d", id, o.version, v)
		case o.err != nil && !errors.Is(o.err, ErrUnknown) && ok:
			m.t.Fatalf("%s was accepted in version %d, but reported as refused: %v", id, v, o.err)
		}
	}
	for _, h := range m.heads[1:] {
		at, err := m.reader.At(t.Context(), h.Version)
		if err != nil || at.Change != h.Change || at.Hash != h.Hash {
			m.t.Fatalf("history of version %d: %+v, %v", h.Version, at.Record, err)
		}
	}
}
