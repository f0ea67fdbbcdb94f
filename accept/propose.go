package accept

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// Propose rebases p on the current head and accepts it as the next Version, or returns an error.
// After ErrUnknown the change may have been accepted or may still be; submitting p again with the
// same ID determines the outcome. All other errors mean that the change was not accepted.
func (a *Acceptor) Propose(ctx context.Context, p Proposal) (Result, error) {
	res, err := a.proposeWithTimeout(ctx, p)
	err = a.trackUnknown(p, err)
	kv := []any{"Change", string(p.ID), "Author", p.Author, "Kind", string(p.Kind)}
	switch {
	case err == nil && res.Unchanged:
		a.Stats.Inc("Accept.Unchanged")
	case err == nil:
		a.Stats.Inc("Accept.Accepted")
		if res.Repaired != "" {
			a.Stats.Inc("Accept.Repaired")
			a.Log.Emit(event.HeadRepaired, append(kv, "Version", res.Version, "Restored", res.Restored, "Damage", res.Repaired)...)
		}
		if res.Rebased {
			a.Stats.Inc("Accept.Rebased")
			a.Log.Emit(event.ChangeRebased, append(kv, "Base", p.Base, "Version", res.Version)...)
		}
		a.Log.Emit(event.ChangeAccepted, append(kv, "Version", res.Version, "Rows", res.Change.Len())...)
	case errors.Is(err, ErrUnknown):
		a.Stats.Inc("Accept.Unknown")
		a.Log.Emit(event.ChangeUnknown, append(kv, "Error", err)...)
	default:
		a.Stats.Inc("Accept.Refused." + cmp.Or(refusalName(err), "Failed"))
		a.Log.Emit(event.ChangeRefused, append(kv, "Error", err)...)
	}
	return res, err
}

// trackUnknown records whether the outcome of p is unknown. If an earlier submission of p ended with
// ErrUnknown and err is not a final refusal, it returns ErrUnknown again, since the earlier submission
// may still take effect.
func (a *Acceptor) trackUnknown(p Proposal, err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, submittedBefore := a.unresolved[p.ID]
	if (submittedBefore || p.Resubmitted) && err != nil && !errors.Is(err, ErrUnknown) && !isFinal(err) {
		err = fmt.Errorf("%w: change %s was submitted before: %w", ErrUnknown, p.ID, err)
	}
	if errors.Is(err, ErrUnknown) {
		a.unresolved[p.ID] = struct{}{}
	} else {
		delete(a.unresolved, p.ID)
	}
	return err
}

func (a *Acceptor) proposeWithTimeout(ctx context.Context, p Proposal) (Result, error) {
	if err := p.validate(); err != nil {
		return Result{}, err
	}
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, a.Config.ProposeTimeout)
	defer cancel()
	res, err := a.propose(ctx, p, time.Now().Round(0).Add(a.Config.ProposeTimeout))
	if err != nil && ctx.Err() != nil && parent.Err() == nil && !errors.Is(err, ErrUnknown) {
		err = fmt.Errorf("%w: %w", ErrTimeout, err)
	}
	return res, err
}

// propose tries to swap head until the outcome of p is determined. The deadline is a wall clock
// reading, since the monotonic clock does not count the time during which a VM was paused.
func (a *Acceptor) propose(ctx context.Context, p Proposal, deadline time.Time) (Result, error) {
	var pending *prepared // a swap whose outcome is unknown
	wait := a.newWait()
	for {
		head, err := a.headFor(ctx, p)
		if err != nil {
			if pending == nil {
				return Result{}, err
			}
			if waitErr := wait(ctx); waitErr != nil {
				return Result{}, fmt.Errorf("%w: change %s: %w", ErrUnknown, p.ID, err)
			}
			continue
		}
		version, ok, err := a.findChange(ctx, head, p.ID, pending)
		if ok {
			return a.acceptedResult(ctx, head, version, pending), nil
		}
		if err != nil {
			if waitErr := wait(ctx); waitErr != nil {
				return Result{}, fmt.Errorf("%w: change %s: %w", ErrUnknown, p.ID, err)
			}
			continue
		}
		next := pending
		if pending == nil || head.Position() != pending.position {
			// A swap of an earlier revision can no longer take effect.
			pending = nil
			if !p.hasBase() && p.Kind == KindCorrection {
				p.Base, p.HasBase = head.Version, true
			}
			if next, err = a.prepare(ctx, p, head); err != nil {
				return Result{}, err
			}
			if next == nil {
				return Result{Version: head.Version, Restored: p.Restore, Unchanged: true}, nil
			}
		}
		if pending == nil && time.Now().Round(0).After(deadline) {
			return Result{}, fmt.Errorf("%w: too much time has passed since the chunks were checked", ErrTimeout)
		}
		v, err := a.Store.Swap(ctx, HeadKey, next.position.Revision, next.data, 0)
		switch {
		case err == nil:
			if v.Era != next.position.Era {
				a.rewriteChunks(ctx, next)
			}
			a.recordAcceptance(ctx, next)
			return next.result, nil
		case errors.Is(err, store.ErrConflict):
			// Another change was accepted first or, after a lost response, this one was.
		case errors.Is(err, store.ErrUnknown):
			pending = next
		case pending == nil:
			return Result{}, err
		}
		if waitErr := wait(ctx); waitErr != nil && pending != nil {
			return Result{}, fmt.Errorf("%w: change %s: %w", ErrUnknown, p.ID, waitErr)
		}
	}
}

// findChange returns the Version of the change id if it has been accepted. If the outcome of a swap is
// unknown and the id may have dropped out of head, it reads the record of the Version that the swap
// would have produced.
func (a *Acceptor) findChange(ctx context.Context, head Head, id ident.ChangeID, pending *prepared) (ident.Version, bool, error) {
	if v, ok := head.Accepted(id); ok {
		return v, true, nil
	}
	if pending == nil || head.Version < pending.record.Version+maxHeadChanges {
		return 0, false, nil
	}
	at, err := a.headAt(ctx, head, pending.record.Version)
	return at.Version, err == nil && at.Change == id, err
}

// acceptedResult returns the result of a change that was accepted as Version v, either by an earlier
// submission or by the pending swap.
func (a *Acceptor) acceptedResult(ctx context.Context, head Head, v ident.Version, pending *prepared) Result {
	if pending == nil || pending.record.Version != v {
		return Result{Version: v, Repeated: true}
	}
	a.Stats.Inc("Accept.Resolved")
	a.Log.Emit(event.ChangeResolved, "Change", string(pending.record.Change), "Version", v)
	if head.ReadIn != pending.position.Era {
		a.rewriteChunks(ctx, pending)
	}
	if head.Version == v {
		a.recordAcceptance(ctx, pending)
	}
	return pending.result
}

// recordAcceptance writes the history record of an accepted change. If that fails, the next proposal
// writes it, since head contains the same record.
func (a *Acceptor) recordAcceptance(ctx context.Context, accepted *prepared) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	defer cancel()
	if err := a.writeRecord(ctx, accepted.record); err != nil {
		a.Log.Emit(event.HistoryNotWritten, "Version", accepted.record.Version, "Error", err)
	}
}

// rewriteChunks writes the chunks of an accepted change again. The store came back from a copy between the read of the
// head and the swap, which succeeds if the copy has the same head, but the chunks may be lost.
func (a *Acceptor) rewriteChunks(ctx context.Context, accepted *prepared) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
	defer cancel()
	if err := a.writeChunks(ctx, Head{}, accepted.chunks); err != nil {
		a.Log.Emit(event.AgreementCorrupt, "Version", accepted.record.Version, "Error", err)
	}
}

// headFor returns the head that p is to replace. Only a restore may replace a damaged one, and nothing an unconfirmed
// one that is intact, since daemons may hold later Versions.
func (a *Acceptor) headFor(ctx context.Context, p Proposal) (head Head, err error) {
	if p.Kind == KindRestore {
		head, err = a.Examine(ctx, p.Served)
	} else {
		head, err = a.Current(ctx)
	}
	if err == nil && head.Damage == nil && head.IsUnconfirmed() {
		return Head{}, fmt.Errorf("%w: head is version %d of era %d, the store is in era %d", ErrUnconfirmed, head.Version, head.Era, head.ReadIn)
	}
	return head, err
}

// prepare rebases p on head and writes the chunks to which the new head refers and the history record
// of the current one. It returns nil if a restore would change no row.
func (a *Acceptor) prepare(ctx context.Context, p Proposal, head Head) (*prepared, error) {
	if p.Kind == KindRestore {
		return a.prepareRestore(ctx, p, head)
	}
	cur, err := a.Load(ctx, head)
	if err != nil {
		return nil, err
	}
	baseVersion, err := a.baseVersion(p, head)
	if err != nil {
		return nil, err
	}
	base, err := a.loadBase(ctx, head, baseVersion)
	if err != nil {
		return nil, err
	}
	reb, err := rebaseProposal(p, base, cur)
	if err != nil {
		return nil, err
	}
	next, err := cur.Apply(head.Version+1, reb.change)
	if err != nil {
		return nil, fmt.Errorf("change %s on version %d: %w", p.ID, head.Version, err)
	}
	chunks, err := split(next.Rows())
	if err != nil {
		return nil, err
	}
	if err := a.writeChunks(ctx, head, chunks); err != nil {
		return nil, fmt.Errorf("write chunks: %w", asUnavailable(err))
	}
	if err := a.writeRecord(ctx, head.Record); err != nil {
		return nil, fmt.Errorf("write history: %w", err)
	}
	rec := newRecord(p, baseVersion, next, reb.change, chunks)
	return newPrepared(head, rec, chunks, Result{
		Version: next.Version(), Rebased: baseVersion != head.Version, Change: reb.change, Kept: reb.kept,
	})
}

// baseVersion returns the Version against which p is compared. For a sheet that states no base, it is
// the last Version that a sheet produced.
func (a *Acceptor) baseVersion(p Proposal, head Head) (ident.Version, error) {
	if p.hasBase() {
		return p.Base, nil
	}
	if since := time.Since(head.SheetTime); head.SheetVersion > 0 && since < a.Config.SheetBaseWindow {
		return 0, fmt.Errorf("%w: another sheet was accepted %s ago as version %d",
			ErrBaseRequired, since.Round(time.Second), head.SheetVersion)
	}
	return head.SheetVersion, nil
}

func rebaseProposal(p Proposal, base, head *agree.Agreement) (rebased, error) {
	if p.Kind == KindCorrection {
		for _, k := range p.Change.Delete {
			if _, ok := base.Row(k); !ok {
				return rebased{}, fmt.Errorf("%w: no row %s to delete in version %d", ErrProposal, k, base.Version())
			}
		}
	}
	// Each row of a correction is an intended change. A sheet also contains the rows that its
	// author left unchanged; they have the same values in the stated base.
	// A restore reproduces an earlier agreement exactly, so every later change conflicts.
	strict := p.Kind != KindSheet || !p.hasBase()
	reb := rebase(base, head, proposedRows(p, base, head), strict)
	if len(reb.conflicts) > 0 {
		return reb, &ConflictError{Base: base.Version(), Head: head.Version(), Conflicts: reb.conflicts}
	}
	return reb, nil
}

func newRecord(p Proposal, base ident.Version, next *agree.Agreement, c agree.Change, chunks []chunk) Record {
	rec := Record{
		Version: next.Version(), Hash: next.Hash(), Change: p.ID, Author: p.Author, Kind: p.Kind,
		Time: time.Now().UTC(), Base: base, Put: len(c.Put), Deleted: len(c.Delete), Keys: c.Keys(),
	}
	if len(rec.Keys) > maxRecordKeys {
		rec.Keys = rec.Keys[:maxRecordKeys]
	}
	for _, ch := range chunks {
		rec.Chunks = append(rec.Chunks, ch.id)
	}
	return rec
}
