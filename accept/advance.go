package accept

import (
	"context"
	"slices"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

// maxAdvanceChunks is the number of changed chunks up to which Advance applies only the difference.
// Eight chunks have 4,096 rows on average, which are in memory twice meanwhile.
const maxAdvanceChunks = 8

// Advance returns the agreement of head like Load, for a caller that already has base in memory. If
// base was loaded last and at most maxAdvanceChunks chunks differ, it decodes only those and applies
// their difference to base. Otherwise, or if the result does not have the hash of head, it decodes
// all chunks of head. The result shares equal rows with base.
func (a *Acceptor) Advance(ctx context.Context, head Head, base *agree.Agreement) (*agree.Agreement, error) {
	switch {
	case head.Version == 0:
		return agree.Empty(), nil
	case head.Version == base.Version() && head.Hash == base.Hash():
		return base, nil
	}
	stored, err := a.readChunks(ctx, head.Chunks, a.readChunk)
	if err != nil {
		return nil, a.loadError(head, err)
	}
	oldChunks := a.chunksOf(base)
	if len(oldChunks) == 0 || countChanged(head, oldChunks) > maxAdvanceChunks {
		return a.assemble(head, stored, base)
	}
	if got := a.applyDiff(head, stored, base, oldChunks); got != nil {
		a.Stats.Inc("Accept.Advances")
		a.addToCache(got, head.Chunks, stored)
		return got, nil
	}
	a.Stats.Inc("Accept.AdvancesFailed")
	return a.assemble(head, stored, base)
}

// countChanged returns the number of chunks of head that are not in oldChunks.
func countChanged(head Head, oldChunks map[ChunkID][]byte) int {
	n := 0
	for _, id := range head.Chunks {
		if _, ok := oldChunks[id]; !ok {
			n++
		}
	}
	return n
}

// chunksOf returns the compressed chunks of base, or nil if base was not loaded last.
func (a *Acceptor) chunksOf(base *agree.Agreement) map[ChunkID][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastLoaded.Version != base.Version() || a.lastLoaded.Hash != base.Hash() {
		return nil
	}
	out := make(map[ChunkID][]byte, len(a.lastLoaded.Chunks))
	for _, id := range a.lastLoaded.Chunks {
		out[id] = a.chunks[id]
	}
	return out
}

// applyDiff applies the difference between oldChunks, the chunks of base, and the chunks of head to
// base. It returns nil if a chunk cannot be decoded or the result does not have the hash of head.
func (a *Acceptor) applyDiff(head Head, stored [][]byte, base *agree.Agreement, oldChunks map[ChunkID][]byte) *agree.Agreement {
	removed := map[agree.Key]agree.Row{}
	for id, data := range oldChunks {
		if slices.Contains(head.Chunks, id) {
			continue
		}
		if err := a.codec.decode(id, data, func(r agree.Row) { removed[r.Key()] = r }); err != nil {
			return nil
		}
	}
	var c agree.Change
	addRow := func(r agree.Row) {
		k := r.Key()
		if removed[k] != r {
			c.Put = append(c.Put, r)
		}
		delete(removed, k)
	}
	for i, id := range head.Chunks {
		if _, ok := oldChunks[id]; ok {
			continue
		}
		if err := a.codec.decode(id, stored[i], addRow); err != nil {
			return nil
		}
	}
	for k := range removed {
		c.Delete = append(c.Delete, k)
	}
	got, err := base.Apply(head.Version, c)
	if err != nil || got.Hash() != head.Hash {
		return nil
	}
	return got
}
