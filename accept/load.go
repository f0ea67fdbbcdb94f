package accept

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Load returns the complete agreement of head after verifying its hash. The error wraps ErrMissing if
// a chunk has been removed, and ErrCorrupt if stored data is wrong. Chunks that are still cached from
// earlier loads are not read again.
func (a *Acceptor) Load(ctx context.Context, head Head) (*agree.Agreement, error) {
	if head.Version == 0 {
		return agree.Empty(), nil
	}
	if got := a.fromCache(head); got != nil {
		return got, nil
	}
	return a.loadWith(ctx, head, a.readChunk)
}

// loadWith returns the agreement of head, getting its chunks from read.
func (a *Acceptor) loadWith(ctx context.Context, head Head, read chunkReader) (*agree.Agreement, error) {
	stored, err := a.readChunks(ctx, head.Chunks, read)
	if err != nil {
		return nil, a.loadError(head, err)
	}
	return a.assemble(head, stored, agree.Empty())
}

// assemble builds the agreement of head from all its chunks, verifies its hash and caches it. The
// result shares equal rows with base.
func (a *Acceptor) assemble(head Head, stored [][]byte, base *agree.Agreement) (*agree.Agreement, error) {
	rows := agree.NewBuilder(len(head.Chunks)*meanChunkRows, base)
	for i, id := range head.Chunks {
		if err := a.codec.decode(id, stored[i], rows.Add); err != nil {
			return nil, a.loadError(head, err)
		}
	}
	got, err := rows.Agreement(head.Version)
	if err != nil {
		return nil, a.loadError(head, err)
	}
	if got.Hash() != head.Hash {
		return nil, a.loadError(head, fmt.Errorf("%w: %s, expected %s", errWrongHash, got.Hash(), head.Hash))
	}
	a.addToCache(got, head.Chunks, stored)
	return got, nil
}

func (a *Acceptor) loadError(head Head, err error) error {
	if errors.Is(err, ErrCorrupt) || errors.Is(err, agree.ErrInvalid) {
		a.Log.Emit(event.AgreementCorrupt, "Version", head.Version, "Error", err)
	}
	return fmt.Errorf("load version %d: %w", head.Version, err)
}

// chunkReader returns the compressed data of a chunk.
type chunkReader func(context.Context, ChunkID) ([]byte, error)

// readChunks returns the compressed data of the chunks, in the order of ids.
func (a *Acceptor) readChunks(ctx context.Context, ids []ChunkID, read chunkReader) ([][]byte, error) {
	stored := make([][]byte, len(ids))
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(a.Config.Concurrency)
	for i, id := range ids {
		g.Go(func() (err error) {
			stored[i], err = read(gctx, id)
			return err
		})
	}
	return stored, g.Wait()
}

// readChunk returns the compressed data of a chunk from the cache or else the store.
func (a *Acceptor) readChunk(ctx context.Context, id ChunkID) ([]byte, error) {
	a.mu.Lock()
	data, ok := a.chunks[id]
	a.mu.Unlock()
	if ok {
		return data, nil
	}
	return a.fetchChunk(ctx, id)
}

// fetchChunk returns the compressed data of a chunk from the store.
func (a *Acceptor) fetchChunk(ctx context.Context, id ChunkID) ([]byte, error) {
	v, err := a.Store.Get(ctx, id.key())
	if err != nil {
		return nil, err
	}
	if v.Revision == 0 {
		return nil, fmt.Errorf("%w: %s", ErrMissing, id)
	}
	return v.Data, nil
}

func (a *Acceptor) fromCache(head Head) *agree.Agreement {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, got := range a.recent {
		if got.Version() == head.Version && got.Hash() == head.Hash {
			return got
		}
	}
	return nil
}

// addToCache caches an agreement and its chunks. Chunks of earlier agreements stay until the cache has
// more than twice the chunks of this one, since consecutive Versions share most chunks. Chunks are
// cached compressed, which takes 86 KB for 20,000 rows; the decoded rows take 5 MB.
func (a *Acceptor) addToCache(got *agree.Agreement, ids []ChunkID, stored [][]byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recent = append(a.recent, got)
	if n := len(a.recent) - a.Config.KeepLoaded; n > 0 {
		a.recent = slices.Delete(a.recent, 0, n)
	}
	if len(a.chunks) > 2*len(ids) {
		clear(a.chunks)
	}
	for i, id := range ids {
		a.chunks[id] = stored[i]
	}
	a.lastLoaded = Record{Version: got.Version(), Hash: got.Hash(), Chunks: ids}
}

// At returns the Head of the current or an earlier Version; for an earlier one only Record is set. The
// error wraps ErrBaseUnknown if the Version has not been accepted, and ErrBaseRemoved if its record has
// been removed. Load of the result returns ErrMissing if the rows have been removed.
func (a *Acceptor) At(ctx context.Context, version ident.Version) (Head, error) {
	head, err := a.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	return a.headAt(ctx, head, version)
}

func (a *Acceptor) headAt(ctx context.Context, head Head, version ident.Version) (Head, error) {
	switch {
	case version == 0:
		return Head{}, nil
	case version == head.Version:
		return head, nil
	case version > head.Version:
		return Head{}, fmt.Errorf("%w: %d, head is %d", ErrBaseUnknown, version, head.Version)
	}
	rec, err := a.readRecord(ctx, version)
	return Head{Record: rec}, err
}

func decodeRecord(key string, data []byte) (Record, error) {
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return Record{}, fmt.Errorf("%w: decode %s: %w", ErrCorrupt, key, err)
	}
	if historyKey(rec.Version) != key {
		return Record{}, fmt.Errorf("%w: %s describes version %d", ErrCorrupt, key, rec.Version)
	}
	return rec, nil
}

// loadBase returns the agreement of version, from which a proposal is rebased.
func (a *Acceptor) loadBase(ctx context.Context, head Head, version ident.Version) (*agree.Agreement, error) {
	at, err := a.headAt(ctx, head, version)
	if err != nil {
		return nil, err
	}
	got, err := a.Load(ctx, at)
	if errors.Is(err, ErrMissing) {
		return nil, fmt.Errorf("%w: %w", ErrBaseRemoved, err)
	}
	return got, err
}
