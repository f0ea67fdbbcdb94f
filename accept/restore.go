package accept

import (
	"cmp"
	"context"
	"errors"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Plan describes the effect of a restore that has not been proposed yet.
type Plan struct {
	Base     ident.Version // to be stated as the base of the proposal
	Damage   string        // why head is damaged; empty if it is intact
	Restored ident.Version // the Version to restore
	Version  ident.Version // the Version that the restore would produce
	// Change is relative to head. If head is damaged, it puts all rows.
	Change agree.Change
}

// PlanRestore returns the effect of restoring the Version from, without writing anything. Zero means
// the newest intact Version, which is allowed only while head is damaged. The argument served is the
// highest Version that daemons are known to serve. The errors are those of Propose.
func (a *Acceptor) PlanRestore(ctx context.Context, from, served ident.Version) (Plan, error) {
	head, err := a.Examine(ctx, served)
	if err != nil {
		return Plan{}, err
	}
	target, err := a.loadTarget(ctx, head, from)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{Base: head.Floor, Damage: head.describeDamage(), Restored: target.Version(), Version: head.Floor + 1}
	if plan.Damage != "" {
		plan.Change = agree.Change{Put: target.Rows()}
		return plan, nil
	}
	cur, err := a.Load(ctx, head)
	if err != nil {
		return Plan{}, err
	}
	plan.Change = agree.Diff(cur, target)
	return plan, nil
}

// prepareRestore implements prepare for a restore. It returns nil if head already has the rows.
func (a *Acceptor) prepareRestore(ctx context.Context, p Proposal, head Head) (*prepared, error) {
	target, err := a.loadTarget(ctx, head, p.Restore)
	if err != nil {
		return nil, err
	}
	p.Change = agree.Change{Put: target.Rows()}
	next, reb, err := a.applyRestore(ctx, p, head)
	if err != nil || next == nil {
		return nil, err
	}
	chunks, err := split(next.Rows())
	if err != nil {
		return nil, err
	}
	reusable := head
	if head.Damage != nil {
		reusable = Head{} // its chunks may be damaged, so all chunks are written again
	}
	if err := a.writeChunks(ctx, reusable, chunks); err != nil {
		return nil, fmt.Errorf("write chunks: %w", asUnavailable(err))
	}
	if !errors.Is(head.Damage, errWrongHash) {
		if err := a.writeRecord(ctx, head.Record); err != nil {
			return nil, fmt.Errorf("write history: %w", err)
		}
	}
	rec := newRecord(p, p.Base, next, reb.change, chunks)
	rec.Restored = target.Version()
	return newPrepared(head, rec, chunks, Result{
		Version: next.Version(), Restored: rec.Restored, Rebased: p.Base != head.Floor, Change: reb.change,
		Repaired: head.describeDamage(),
	})
}

// applyRestore returns the agreement that follows head and has the rows of p, or nil if head already
// has them.
func (a *Acceptor) applyRestore(ctx context.Context, p Proposal, head Head) (*agree.Agreement, rebased, error) {
	if head.Damage != nil {
		if p.Base != head.Floor {
			return nil, rebased{}, fmt.Errorf("%w: base %d, head is damaged and counts as %d", ErrHeadChanged, p.Base, head.Floor)
		}
		next, err := agree.New(head.Floor+1, p.Change.Put)
		return next, rebased{change: p.Change}, err
	}
	cur, err := a.Load(ctx, head)
	if err != nil {
		return nil, rebased{}, err
	}
	base, err := a.loadBase(ctx, head, p.Base)
	if err != nil {
		return nil, rebased{}, err
	}
	reb, err := rebaseProposal(p, base, cur)
	if err != nil || reb.change.IsEmpty() {
		return nil, reb, err
	}
	next, err := cur.Apply(head.Version+1, reb.change)
	if err != nil {
		return nil, reb, fmt.Errorf("restore of version %d on version %d: %w", p.Restore, head.Version, err)
	}
	return next, reb, nil
}

// loadTarget returns the agreement of the Version from, or of the newest intact one if from is zero. It
// reads the store and not the caches.
func (a *Acceptor) loadTarget(ctx context.Context, head Head, from ident.Version) (*agree.Agreement, error) {
	if from == 0 {
		if head.Damage == nil {
			return nil, fmt.Errorf("%w: head is %d", ErrHeadIntact, head.Version)
		}
		return a.newestIntact(ctx, head)
	}
	if from > head.Floor {
		return nil, fmt.Errorf("%w: %d, head is %d", ErrBaseUnknown, from, head.Floor)
	}
	rec := head.Record
	if from != head.Version {
		var err error
		if rec, err = a.readRecord(ctx, from); err != nil {
			return nil, a.notRestorable(ctx, head, from, err)
		}
	}
	got, err := a.loadStored(ctx, Head{Record: rec})
	if err != nil {
		return nil, a.notRestorable(ctx, head, from, err)
	}
	return got, nil
}

// notRestorable wraps an error about missing or damaged data in a NotRestorableError, which lists the
// Versions that can be restored. Other errors are returned unchanged.
func (a *Acceptor) notRestorable(ctx context.Context, head Head, from ident.Version, err error) error {
	if !isDamage(err) && !errors.Is(err, ErrBaseRemoved) {
		return err
	}
	restorable, listErr := a.restorable(ctx, head)
	return &NotRestorableError{Version: from, Err: err, Restorable: restorable, ListErr: listErr}
}

// newestIntact returns the agreement of the newest Version whose record and chunks are intact.
func (a *Acceptor) newestIntact(ctx context.Context, head Head) (*agree.Agreement, error) {
	chunks := a.newChunkStates()
	var got *agree.Agreement
	var lastErr error
	tryRecord := func(rec Record) bool {
		if err := chunks.check(ctx, rec); err != nil {
			lastErr = err
			return isDamage(err)
		}
		a, err := a.loadStored(ctx, Head{Record: rec})
		if err != nil {
			lastErr = err
			return isDamage(err)
		}
		got, lastErr = a, nil
		return false
	}
	// The record of head may not be in the history yet.
	if head.Version > 0 && !tryRecord(head.Record) {
		return got, lastErr
	}
	if err := a.eachRecord(ctx, head.newestDescribed(), 0, func(e Entry) bool {
		return e.Damage != "" || tryRecord(e.Record)
	}); err != nil {
		return nil, err
	}
	if lastErr != nil && !isDamage(lastErr) {
		return nil, lastErr
	}
	if got == nil {
		return nil, &NotRestorableError{Err: cmp.Or(lastErr, head.Damage)}
	}
	return got, nil
}

// restorable returns, in ascending order, the Versions whose rows are intact among head, the last
// Config.KeepVersions and the one that the last sheet produced. Earlier ones are due for collection.
func (a *Acceptor) restorable(ctx context.Context, head Head) ([]ident.Version, error) {
	chunks := a.newChunkStates()
	intact := map[ident.Version]struct{}{}
	var readErr error
	add := func(rec Record) {
		switch err := chunks.check(ctx, rec); {
		case err == nil:
			intact[rec.Version] = struct{}{}
		case !isDamage(err):
			readErr = err
		}
	}
	if _, err := a.loadStored(ctx, head); err == nil {
		add(head.Record)
	}
	minVersion := ident.Version(0)
	if head.Floor > a.Config.KeepVersions {
		minVersion = head.Floor - a.Config.KeepVersions
	}
	if err := a.eachRecord(ctx, head.newestDescribed(), minVersion, func(e Entry) bool {
		if e.Damage == "" {
			add(e.Record)
		}
		return readErr == nil
	}); err != nil {
		return nil, err
	}
	if v := head.SheetVersion; v > 0 && v < minVersion {
		if rec, err := a.readRecord(ctx, v); err == nil {
			add(rec)
		}
	}
	return sortedVersions(intact), readErr
}
