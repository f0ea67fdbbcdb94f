package accept

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/store"
)

const garbageKey = "garbage"

// maxMarks limits the marks in the garbage record, so that it stays below the store's limit on
// values. Later collections mark the remaining unreferenced chunks.
const maxMarks = 5000

// maxExpiredRecords limits the history records that one collection removes.
const maxExpiredRecords = 500

// garbage is the state of collections, which is kept in the store under garbageKey.
type garbage struct {
	Marks   map[ChunkID]mark
	History ident.Version // the history records of lower Versions have been removed
}

// mark states the revision of an unreferenced chunk and when it was first found unreferenced.
type mark struct {
	Revision int64
	Since    time.Time
}

// Collected is the result of a collection.
type Collected struct {
	Chunks  int // chunks removed
	Marked  int // unreferenced chunks that are not yet due for removal
	History int // history records removed
}

// Collect removes the chunks that have been unreferenced for Config.CollectAfter and the history
// records beyond Config.KeepHistory. It makes about 300 calls to the store and is meant to run a few
// times a day in one process. A chunk that is written again in the meantime has a new revision and
// is not removed. Nothing is removed while head is damaged.
func (a *Acceptor) Collect(ctx context.Context) (Collected, error) {
	var out Collected
	head, err := a.Current(ctx)
	if err != nil {
		return out, err
	}
	if err := a.checkHead(ctx, head); err != nil {
		return out, fmt.Errorf("collect: %w", err)
	}
	refs, err := a.references(ctx, head)
	if err != nil {
		return out, fmt.Errorf("collect: %w", err)
	}
	v, err := a.Store.Get(ctx, garbageKey)
	if err != nil {
		return out, fmt.Errorf("collect: %w", err)
	}
	var old garbage
	if v.Revision > 0 {
		if err := json.Unmarshal(v.Data, &old); err != nil {
			return out, fmt.Errorf("%w: decode %s: %w", ErrCorrupt, garbageKey, err)
		}
	}
	cur, due, err := a.findUnreferenced(ctx, refs, old)
	if err != nil {
		return out, fmt.Errorf("collect: %w", err)
	}
	if out.Chunks, err = a.removeChunks(ctx, cur, due); err != nil {
		return out, fmt.Errorf("collect: %w", err)
	}
	if out.History, err = a.expireHistory(ctx, head, &cur); err != nil {
		return out, fmt.Errorf("collect: %w", err)
	}
	data, err := json.Marshal(cur)
	if err != nil {
		return out, fmt.Errorf("encode %s: %w", garbageKey, err)
	}
	if _, err := a.Store.Swap(ctx, garbageKey, v.Revision, data, 0); err != nil {
		return out, fmt.Errorf("collect: %w", err)
	}
	out.Marked = len(cur.Marks)
	a.Stats.Add("Accept.ChunksCollected", int64(out.Chunks))
	a.Log.Emit(event.ChunksCollected, "Chunks", out.Chunks, "Marked", out.Marked, "History", out.History)
	return out, nil
}

// references returns the chunks of head, of the last Config.KeepVersions Versions and of the Version
// that the last sheet produced.
func (a *Acceptor) references(ctx context.Context, head Head) (map[ChunkID]struct{}, error) {
	refs := map[ChunkID]struct{}{}
	add := func(rec Record) {
		for _, id := range rec.Chunks {
			refs[id] = struct{}{}
		}
	}
	add(head.Record)
	from := ident.Version(1)
	if head.Version > a.Config.KeepVersions {
		from = head.Version - a.Config.KeepVersions
	}
	for block := from / 100; block <= head.Version/100 && head.Version > 0; block++ {
		vs, err := a.Store.List(ctx, fmt.Sprintf("%s%010d", historyPrefix, block))
		if err != nil {
			return nil, err
		}
		for _, v := range vs {
			rec, err := decodeRecord(v.Key, v.Data)
			if err != nil {
				return nil, err
			}
			if rec.Version >= from {
				add(rec)
			}
		}
	}
	if head.SheetVersion > 0 && head.SheetVersion < from {
		at, err := a.headAt(ctx, head, head.SheetVersion)
		if err != nil {
			return nil, err
		}
		add(at.Record)
	}
	return refs, nil
}

// findUnreferenced marks the chunks that are not in refs and returns those due for removal.
func (a *Acceptor) findUnreferenced(ctx context.Context, refs map[ChunkID]struct{}, old garbage) (garbage, []ChunkID, error) {
	cur := garbage{Marks: map[ChunkID]mark{}, History: old.History}
	var due []ChunkID
	now := time.Now().UTC()
	// The chunks are listed by 256 key prefixes, since all of them may not fit into the memory of a daemon.
	for part := range 256 {
		vs, err := a.Store.List(ctx, fmt.Sprintf("%s%02x", chunkPrefix, part))
		if err != nil {
			return garbage{}, nil, err
		}
		for _, v := range vs {
			id := ChunkID(v.Key[len(chunkPrefix):])
			if _, ok := refs[id]; ok {
				continue
			}
			m, ok := old.Marks[id]
			switch {
			case ok && m.Revision == v.Revision:
				if now.Sub(m.Since) >= a.Config.CollectAfter {
					due = append(due, id)
				}
			case len(cur.Marks) >= maxMarks:
				continue
			default:
				m = mark{Revision: v.Revision, Since: now}
			}
			cur.Marks[id] = m
		}
	}
	return cur, due, nil
}

// removeChunks removes the chunks that are due from the store, and their marks from cur.
func (a *Acceptor) removeChunks(ctx context.Context, cur garbage, due []ChunkID) (int, error) {
	if len(due) == 0 {
		return 0, nil
	}
	// A change may have been accepted since the references were read.
	head, err := a.Head(ctx)
	if err != nil {
		return 0, err
	}
	for _, id := range head.Chunks {
		delete(cur.Marks, id)
	}
	removed := 0
	for _, id := range due {
		m, ok := cur.Marks[id]
		if !ok {
			continue
		}
		err := a.Store.Delete(ctx, id.key(), m.Revision)
		switch {
		case err == nil:
			removed++
		case errors.Is(err, store.ErrConflict):
		default:
			return removed, err // the marks in the store are unchanged, so the next collection retries
		}
		delete(cur.Marks, id)
	}
	return removed, nil
}

// expireHistory removes the history records that are more than Config.KeepHistory Versions older
// than head, except that of the last sheet.
func (a *Acceptor) expireHistory(ctx context.Context, head Head, g *garbage) (int, error) {
	removed := 0
	g.History = max(g.History, 1)
	for ; g.History+a.Config.KeepHistory < head.Version && removed < maxExpiredRecords; g.History++ {
		if g.History == head.SheetVersion {
			continue
		}
		if err := a.Store.Delete(ctx, historyKey(g.History), 0); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}
