package accept

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// writeChunks writes the chunks to which head does not refer. The chunks of head are not collected
// while it is current, and the later swap succeeds only as long as it is.
func (a *Acceptor) writeChunks(ctx context.Context, head Head, chunks []chunk) error {
	present := make(map[ChunkID]struct{}, len(head.Chunks))
	for _, id := range head.Chunks {
		present[id] = struct{}{}
	}
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(a.Config.Concurrency)
	for _, ch := range chunks {
		if _, ok := present[ch.id]; !ok {
			g.Go(func() error { return a.writeChunk(gctx, ch) })
		}
	}
	return g.Wait()
}

// writeChunk writes a chunk. An existing chunk is written again, so that its revision changes and a
// collection that has marked it as unreferenced does not remove it.
func (a *Acceptor) writeChunk(ctx context.Context, ch chunk) error {
	data := a.codec.encode(ch)
	if len(data) > store.MaxValue {
		return fmt.Errorf("%w: chunk %s has %d bytes", store.ErrTooLarge, ch.id, len(data))
	}
	if err := a.overwrite(ctx, ch.id.key(), data); err != nil {
		return err
	}
	a.Stats.Inc("Accept.ChunksWritten")
	a.Stats.Add("Accept.ChunkBytes", int64(len(data)))
	return nil
}

// overwrite writes a key regardless of its revision. It is for keys whose data never changes, so that
// the write can be repeated if its outcome is unknown.
func (a *Acceptor) overwrite(ctx context.Context, key string, data []byte) error {
	var cur store.Value
	for {
		next, err := a.Store.Swap(ctx, key, cur.Revision, data, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, store.ErrConflict):
			cur = next
		case errors.Is(err, store.ErrUnknown) && ctx.Err() == nil:
			if cur, err = a.Store.Get(ctx, key); err != nil {
				return asUnavailable(err)
			}
		default:
			return asUnavailable(err)
		}
	}
}

// asUnavailable converts ErrUnknown from a preparatory write into ErrUnavailable. Whether that write
// took effect does not affect the outcome of the change, since head has not been swapped yet.
func asUnavailable(err error) error {
	if errors.Is(err, store.ErrUnknown) {
		return fmt.Errorf("%w: preparation failed: %v", store.ErrUnavailable, err) //nolint:errorlint // hides ErrUnknown
	}
	return err
}

// writeRecord writes the history record of a Version unless it exists already.
func (a *Acceptor) writeRecord(ctx context.Context, rec Record) error {
	key := historyKey(rec.Version)
	a.mu.Lock()
	ok := a.lastHistoryKey == key && a.lastHistoryEra == a.Store.Era()
	a.mu.Unlock()
	if ok || rec.Version == 0 {
		return nil
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	var written store.Value
	for {
		written, err = a.Store.Swap(ctx, key, 0, data, 0)
		if err == nil || errors.Is(err, store.ErrConflict) {
			break // after ErrConflict, another Acceptor or an earlier attempt has written it
		}
		if !errors.Is(err, store.ErrUnknown) || ctx.Err() != nil {
			return asUnavailable(err)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastHistoryKey, a.lastHistoryEra = key, written.Era
	return nil
}
