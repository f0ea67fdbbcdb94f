package accept

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// confirmAuthor is the author in the record of a Version whose own record is lost.
const confirmAuthor = "marjoramcroftd"

// Confirm writes the head of a store that came back from a copy again, so that changes are accepted on top of it. If
// held, the agreement that a daemon holds, has a higher Version, it becomes that of head, under the same Version. The
// argument known is a Head that was read before, whose record and changes are kept if it is that of held. The write is
// a compare-and-swap like that of an acceptance, so that of several daemons one succeeds first; another one with a
// higher Version still replaces it while Confirmed is set. Confirm returns the Head that is in the store.
func (a *Acceptor) Confirm(ctx context.Context, held *agree.Agreement, known Head) (Head, error) {
	head, err := a.Head(ctx)
	if err != nil || !head.NeedsConfirm(held.Version()) {
		return head, err
	}
	next := head
	switch {
	case held.Version() > head.Version:
		next, err = a.reinstate(ctx, head, held, known)
	case held.Hash() == head.Hash:
		err = a.rewriteLostChunks(ctx, head, held)
	}
	if err != nil {
		return head, fmt.Errorf("confirm version %d: %w", held.Version(), err)
	}
	next.Era, next.Confirmed, next.ReadIn = head.ReadIn, true, head.ReadIn
	data, err := json.Marshal(next)
	if err != nil {
		return head, fmt.Errorf("encode %s: %w", HeadKey, err)
	}
	v, err := a.Store.Swap(ctx, HeadKey, head.Revision, data, 0)
	if err != nil {
		return head, fmt.Errorf("confirm version %d: %w", held.Version(), err)
	}
	// The next acceptance writes the record if this fails.
	if err := a.writeRecord(ctx, next.Record); err != nil {
		a.Log.Emit(event.HistoryNotWritten, "Version", next.Version, "Error", err)
	}
	a.Stats.Inc("Accept.Confirmed")
	a.Log.Emit(event.HeadConfirmed, "Version", next.Version, "Found", head.Version, "Era", next.Era)
	next.Revision, next.ReadIn = v.Revision, v.Era
	return next, nil
}

// reinstate writes the chunks of held and the record of head, and returns the Head for held.
func (a *Acceptor) reinstate(ctx context.Context, head Head, held *agree.Agreement, known Head) (Head, error) {
	chunks, err := split(held.Rows())
	if err != nil {
		return Head{}, err
	}
	if err := a.writeChunks(ctx, head, chunks); err != nil {
		return Head{}, fmt.Errorf("write chunks: %w", err)
	}
	if err := a.writeRecord(ctx, head.Record); err != nil {
		return Head{}, fmt.Errorf("write history: %w", err)
	}
	if known.Version == held.Version() && known.Hash == held.Hash() {
		return known, nil
	}
	cur, err := a.Load(ctx, head)
	if err != nil {
		return Head{}, err
	}
	p := Proposal{
		ID:     ident.ChangeID(fmt.Sprintf("confirm-%d-%d", head.ReadIn, held.Version())),
		Author: confirmAuthor, Kind: KindConfirm,
	}
	return head.next(newRecord(p, head.Version, held, agree.Diff(cur, held), chunks)), nil
}

// rewriteLostChunks writes the chunks of head, whose rows are those of held, if one is missing or damaged. That is so if
// the store came back from a copy while head was written.
func (a *Acceptor) rewriteLostChunks(ctx context.Context, head Head, held *agree.Agreement) error {
	if err := a.newChunkStates().check(ctx, head.Record); err == nil || !isDamage(err) {
		return err
	}
	chunks, err := split(held.Rows())
	if err != nil {
		return err
	}
	return a.writeChunks(ctx, Head{}, chunks)
}
