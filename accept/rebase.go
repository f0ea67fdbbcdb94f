package accept

import (
	"slices"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

// rebased is the result of rebasing a proposal from its base to head.
type rebased struct {
	change    agree.Change // relative to head
	conflicts []Conflict
	kept      []agree.Key // rows of a sheet that keep their later values, see Result.Kept
}

// rebase performs a three-way merge of the proposed rows (nil: deleted) with base and head. If strict,
// a row that was changed since base conflicts even if the proposal states its value in base. A
// correction or restore means that value; for a sheet without a stated base it is not known.
func rebase(base, head *agree.Agreement, proposed map[agree.Key]*agree.Row, strict bool) rebased {
	var out rebased
	for k, proposedRow := range proposed {
		baseRow, headRow := rowAt(base, k), rowAt(head, k)
		switch {
		case sameRow(proposedRow, headRow):
		case sameRow(baseRow, headRow):
			out.add(k, proposedRow)
		case sameRow(proposedRow, baseRow) && !strict:
			out.kept = append(out.kept, k)
		default:
			out.conflicts = append(out.conflicts, Conflict{Key: k, Base: baseRow, Theirs: headRow, Ours: proposedRow})
		}
	}
	slices.SortFunc(out.change.Put, func(a, b agree.Row) int { return compareKeys(a.Key(), b.Key()) })
	slices.Sort(out.change.Delete)
	slices.SortFunc(out.conflicts, func(a, b Conflict) int { return compareKeys(a.Key, b.Key) })
	slices.Sort(out.kept)
	return out
}

func (r *rebased) add(k agree.Key, row *agree.Row) {
	if row == nil {
		r.change.Delete = append(r.change.Delete, k)
		return
	}
	r.change.Put = append(r.change.Put, *row)
}

func compareKeys(a, b agree.Key) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func rowAt(a *agree.Agreement, k agree.Key) *agree.Row {
	if r, ok := a.Row(k); ok {
		return &r
	}
	return nil
}

func sameRow(a, b *agree.Row) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// proposedRows returns the rows that p sets, with nil for a row that it deletes. A sheet or a restore
// also deletes the rows of base and head that it does not contain.
func proposedRows(p Proposal, base, head *agree.Agreement) map[agree.Key]*agree.Row {
	out := make(map[agree.Key]*agree.Row, p.Change.Len())
	if p.Kind == KindSheet || p.Kind == KindRestore {
		for _, a := range []*agree.Agreement{base, head} {
			for _, r := range a.Rows() {
				out[r.Key()] = nil
			}
		}
	}
	for _, k := range p.Change.Delete {
		out[k] = nil
	}
	for i := range p.Change.Put {
		out[p.Change.Put[i].Key()] = &p.Change.Put[i]
	}
	return out
}
