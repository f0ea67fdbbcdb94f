package accept

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// Examine returns the current Head after it has read and checked all its chunks in the store. Damage
// is set if it is damaged, and Floor is the highest Version that may have been accepted. If the key
// is missing or cannot be decoded, only Floor, Changes, SheetVersion and SheetTime are set, from the
// history. The argument served is the highest Version that daemons are known to serve; a head below
// it has lost Versions.
func (a *Acceptor) Examine(ctx context.Context, served ident.Version) (Head, error) {
	v, err := a.Store.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, err
	}
	for {
		head, err := a.examine(ctx, v, served)
		if err != nil || head.Damage == nil {
			return head, err
		}
		// The head may have been repaired, or the first change accepted, after head was read. The
		// history is then newer than v, and Floor would be above the accepted Version.
		again, err := a.Store.Get(ctx, HeadKey)
		if err != nil {
			return Head{}, err
		}
		if again.Position() == v.Position() {
			return head, nil
		}
		v = again
	}
}

// examine implements Examine for v, the value of HeadKey.
func (a *Acceptor) examine(ctx context.Context, v store.Value, served ident.Version) (Head, error) {
	head, damage := DecodeHead(v)
	if damage == nil && v.Revision > 0 {
		return a.examineRows(ctx, head, served)
	}
	newest, err := a.newestRecorded(ctx, served)
	if err != nil {
		return Head{}, err
	}
	if damage == nil {
		if newest == 0 && served == 0 {
			return head, nil // no Version has been accepted
		}
		damage = ErrHeadMissing
	}
	return a.rebuildHead(ctx, v.Position(), max(newest+1, served), newest, damage)
}

// examineRows loads the rows of a head that could be decoded. It sets Floor, and Damage if rows are
// missing or damaged or the Version of head is too low.
func (a *Acceptor) examineRows(ctx context.Context, head Head, served ident.Version) (Head, error) {
	head.Floor, head.newestRecorded = head.Version, head.Version
	_, err := a.loadStored(ctx, head)
	switch {
	case err != nil && !isDamage(err):
		return Head{}, err
	case err == nil && head.Version >= served:
		return head, nil
	case err == nil:
		err = fmt.Errorf("%w: %s is at version %d, daemons serve version %d", ErrCorrupt, HeadKey, head.Version, served)
	}
	head.Damage = err
	newest, err := a.newestRecorded(ctx, served)
	if err != nil {
		return Head{}, err
	}
	// The record of a Version is written before the next Version is accepted, so the true Version is
	// newest or newest+1. If head states a lower one, it is wrong.
	head.newestRecorded = newest
	if head.Version < newest {
		head.Floor = newest + 1
	}
	head.Floor = max(head.Floor, served)
	return head, nil
}

// rebuildHead returns a Head for a key that is missing or cannot be decoded. Its Changes, SheetVersion
// and SheetTime are rebuilt from the history.
func (a *Acceptor) rebuildHead(ctx context.Context, at store.Position, floor, newest ident.Version, damage error) (Head, error) {
	head := Head{Revision: at.Revision, ReadIn: at.Era, Floor: floor, Damage: damage, newestRecorded: newest}
	if err := a.eachRecord(ctx, newest, 0, func(e Entry) bool {
		if e.Damage != "" {
			return true
		}
		if len(head.Changes) < maxHeadChanges {
			head.Changes = append(head.Changes, ChangeRef{ID: e.Change, Version: e.Version})
		}
		if e.Kind == KindSheet && head.SheetVersion == 0 {
			head.SheetVersion, head.SheetTime = e.Version, e.Time
		}
		return len(head.Changes) < maxHeadChanges || head.SheetVersion == 0
	}); err != nil {
		return Head{}, err
	}
	slices.Reverse(head.Changes)
	return head, nil
}

// Current returns the current Head like Head does, but fails with ErrHeadMissing if the key is
// missing although Versions have been accepted.
func (a *Acceptor) Current(ctx context.Context) (Head, error) {
	head, err := a.Head(ctx)
	if err != nil || head.Revision > 0 {
		return head, err
	}
	newest, err := a.newestRecorded(ctx, 0)
	if err != nil || newest == 0 {
		return head, err
	}
	// The first change may have been accepted after head was read.
	if head, err = a.Head(ctx); err == nil && head.Revision == 0 {
		err = ErrHeadMissing
		a.Log.Emit(event.AgreementCorrupt, "Error", err)
	}
	return head, err
}

// checkHead returns an error that wraps ErrCorrupt or ErrMissing if a chunk of head is damaged or its
// Version does not match the history. A collection based on a wrong Version would remove chunks that
// are needed to restore head. Unlike Examine it keeps one chunk in memory at a time, since collections
// run in daemons.
func (a *Acceptor) checkHead(ctx context.Context, head Head) error {
	if head.Version == 0 {
		return nil
	}
	if err := a.newChunkStates().check(ctx, head.Record); err != nil {
		return err
	}
	newest, err := a.newestRecorded(ctx, head.Version)
	if err == nil && head.Version != newest && head.Version != newest+1 {
		err = fmt.Errorf("%w: %s is at version %d, the history at %d", ErrCorrupt, HeadKey, head.Version, newest)
	}
	return err
}

// loadStored loads the agreement of head like Load, but bypasses the caches, since a cached agreement
// or chunk does not show whether the stored chunks are intact.
func (a *Acceptor) loadStored(ctx context.Context, head Head) (*agree.Agreement, error) {
	if head.Version == 0 {
		return nil, fmt.Errorf("%w: no version", ErrMissing)
	}
	return a.loadWith(ctx, head, a.fetchChunk)
}

// isDamage reports whether err means that stored data is missing or corrupt, as opposed to a store
// that could not be read.
func isDamage(err error) bool {
	return (errors.Is(err, ErrMissing) || errors.Is(err, ErrCorrupt) || errors.Is(err, agree.ErrInvalid)) &&
		!errors.Is(err, store.ErrUnavailable)
}
