package accept

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// versionsPerBlock is the number of Versions whose records share a key prefix and are listed in one call.
const versionsPerBlock = 100

// Rows is the state of the rows of a Version in the store.
type Rows string

// The states of the rows of a Version.
const (
	RowsKept    Rows = "kept"
	RowsMissing Rows = "missing" // removed by a collection, or lost if the Version is head
	RowsDamaged Rows = "damaged"
)

// Entry is a history record and the state of the rows to which it refers.
type Entry struct {
	Record
	Rows   Rows   // set by History only
	Damage string `json:",omitempty"` // of the record, of which then only Version is set, or of a chunk
}

// History returns the last n records up to head, newest first. Versions without a record are
// omitted.
func (a *Acceptor) History(ctx context.Context, head Head, n int) ([]Entry, error) {
	var out []Entry
	if n <= 0 {
		return nil, nil
	}
	if head.Version > 0 {
		out = append(out, Entry{Record: head.Record})
	}
	if err := a.eachRecord(ctx, head.newestDescribed(), 0, func(e Entry) bool {
		if e.Version != head.Version {
			out = append(out, e)
		}
		return len(out) < n
	}); err != nil {
		return nil, err
	}
	slices.SortStableFunc(out, func(x, y Entry) int { return cmp.Compare(y.Version, x.Version) })
	out = out[:min(n, len(out))]
	return out, a.checkEntries(ctx, out)
}

// checkEntries sets Rows of each entry, and Damage if a chunk is damaged.
func (a *Acceptor) checkEntries(ctx context.Context, entries []Entry) error {
	chunks := a.newChunkStates()
	for i := range entries {
		e := &entries[i]
		if e.Damage != "" {
			e.Rows = RowsDamaged
			continue
		}
		err := chunks.check(ctx, e.Record)
		switch {
		case err == nil:
			e.Rows = RowsKept
		case errors.Is(err, ErrMissing):
			e.Rows = RowsMissing
		case errors.Is(err, ErrCorrupt):
			e.Rows, e.Damage = RowsDamaged, err.Error()
		default:
			return err
		}
	}
	return nil
}

// eachRecord calls f with the history records from maxVersion down to minVersion until f returns
// false. For a record that cannot be decoded, only Version and Damage are set.
func (a *Acceptor) eachRecord(ctx context.Context, maxVersion, minVersion ident.Version, f func(Entry) bool) error {
	oldest, err := a.oldestRecorded(ctx)
	if err != nil && !errors.Is(err, ErrCorrupt) {
		return err
	}
	minVersion = max(minVersion, oldest)
	for block := int64(maxVersion / versionsPerBlock); block >= int64(minVersion/versionsPerBlock); block-- {
		vs, err := a.listBlock(ctx, ident.Version(block))
		if err != nil {
			return err
		}
		for _, v := range slices.Backward(vs) {
			version, ok := versionOf(v.Key)
			if !ok || version > maxVersion || version < minVersion {
				continue
			}
			e := Entry{}
			if e.Record, err = decodeRecord(v.Key, v.Data); err != nil {
				e = Entry{Record: Record{Version: version}, Damage: err.Error()}
			}
			if !f(e) {
				return nil
			}
		}
	}
	return nil
}

// listBlock returns the versionsPerBlock records from Version block*versionsPerBlock on, in ascending order.
func (a *Acceptor) listBlock(ctx context.Context, block ident.Version) ([]store.Value, error) {
	return a.Store.List(ctx, fmt.Sprintf("%s%010d", historyPrefix, block))
}

// readRecord returns the record of an earlier Version. The error wraps ErrBaseRemoved if there is none
// and ErrCorrupt if it cannot be decoded.
func (a *Acceptor) readRecord(ctx context.Context, version ident.Version) (Record, error) {
	v, err := a.Store.Get(ctx, historyKey(version))
	if err != nil {
		return Record{}, err
	}
	if v.Revision == 0 {
		return Record{}, fmt.Errorf("%w: no record of version %d", ErrBaseRemoved, version)
	}
	return decodeRecord(v.Key, v.Data)
}

// oldestRecorded returns the Version below which collections have removed the records.
func (a *Acceptor) oldestRecorded(ctx context.Context) (ident.Version, error) {
	v, err := a.Store.Get(ctx, garbageKey)
	if err != nil || v.Revision == 0 {
		return 0, err
	}
	var g garbage
	if err := json.Unmarshal(v.Data, &g); err != nil {
		return 0, fmt.Errorf("%w: decode %s: %w", ErrCorrupt, garbageKey, err)
	}
	return g.History, nil
}

// newestRecorded returns the highest Version that has a record, intact or damaged, or zero if there is
// none. It searches the blocks of records with doubling steps, from the oldest block and from the
// block of served, a Version known to have been accepted.
func (a *Acceptor) newestRecorded(ctx context.Context, served ident.Version) (ident.Version, error) {
	oldest, err := a.oldestRecorded(ctx)
	if err != nil && !errors.Is(err, ErrCorrupt) {
		return 0, err
	}
	out := ident.Version(0)
	for _, from := range slices.Compact([]ident.Version{oldest / versionsPerBlock, served / versionsPerBlock}) {
		v, err := a.newestRecordedFrom(ctx, from)
		if err != nil {
			return 0, err
		}
		out = max(out, v)
	}
	return out, nil
}

// newestRecordedFrom returns the highest Version with a record in the contiguous blocks from block on,
// or zero if that block is empty.
func (a *Acceptor) newestRecordedFrom(ctx context.Context, block ident.Version) (ident.Version, error) {
	var last ident.Version
	hasRecords := func(b ident.Version) (bool, error) {
		vs, err := a.listBlock(ctx, b)
		if err != nil || len(vs) == 0 {
			return false, err
		}
		if v, ok := versionOf(vs[len(vs)-1].Key); ok {
			last = max(last, v)
		}
		return true, nil
	}
	step := ident.Version(1)
	for {
		ok, err := hasRecords(block)
		if err != nil {
			return 0, err
		}
		switch {
		case ok:
			block += step
			step *= 2
		case step <= 2:
			return last, nil
		default:
			// The last block with records is step/2 lower. Search on from the block after it.
			block -= step / 2
			block, step = block+1, 1
		}
	}
}

// versionOf returns the Version in the key of a history record.
func versionOf(key string) (ident.Version, bool) {
	n, err := strconv.ParseUint(key[len(historyPrefix):], 10, 63)
	return ident.Version(n), err == nil
}
