package accept

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// newOperator returns a bench whose Acceptor has the call budget of an operator.
func newOperator(t *testing.T, s *emul.Store) *bench {
	b := newBenchOn(t, s)
	b.Store = store.New(store.Deps{
		Driver: s.Driver(), Config: store.DefaultConfig(), Stats: b.stats, Log: b.Log, Rand: b.Rand,
	}).As(store.RoleOperator)
	return b
}

func TestUploadOf20000RowsStaysWithinTheOperatorsBudget(t *testing.T) {
	is := is.New(t)
	b := newOperator(t, emul.NewStore(emul.DefaultStoreConfig()))
	b.mustPropose(t, upload("first", largeRows(20_000)))
	is.Equal(b.stats.All("Store.Role.Operator.Budget"), map[string]int64{})
}

// writeVersionsTo writes head and history records as if changes without effect had been accepted up to
// Version top, and the chunks of the Versions in between had been collected.
func (b *bench) writeVersionsTo(t *testing.T, top ident.Version) {
	t.Helper()
	head := b.head(t)
	a, err := b.Load(t.Context(), head)
	if err != nil {
		t.Fatal(err)
	}
	for v := head.Version + 1; v <= top; v++ {
		rec := head.Record
		rec.Version, rec.Change, rec.Kind = v, ident.ChangeID(fmt.Sprint("c", v)), KindCorrection
		if v == top {
			same, err := a.Apply(v, agree.Change{})
			if err != nil {
				t.Fatal(err)
			}
			rec.Hash = same.Hash()
			b.mustSwap(t, HeadKey, head.Revision, head.next(rec))
		} else {
			rec.Chunks = append([]ChunkID{ChunkID(fmt.Sprintf("%032x", v))}, rec.Chunks...)
		}
		b.mustSwap(t, historyKey(v), 0, rec)
	}
}

func (b *bench) mustSwap(t *testing.T, key string, revision int64, v any) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.emul.Driver().Swap(t.Context(), key, revision, data, 0); err != nil {
		t.Fatal(err)
	}
}

// TestRestoreOf20000RowsStaysWithinTheOperatorsBudget guards against a restore that exceeds the call
// budget of an operator or takes longer than Config.ProposeTimeout.
func TestRestoreOf20000RowsStaysWithinTheOperatorsBudget(t *testing.T) {
	const records = 2600 // the Versions of two days, whose chunks collections keep
	tests := map[string]struct {
		damage func(t *testing.T, b *bench)
		from   ident.Version
		err    error
	}{
		"earlier version":   {from: 1},
		"collected version": {func(t *testing.T, b *bench) { b.mustRemove(t, historyKey(2)) }, 2, ErrNotRestorable},
		"head removed":      {func(t *testing.T, b *bench) { b.mustRemove(t, HeadKey) }, 0, nil},
		"head removed and the version before it collected": {func(t *testing.T, b *bench) {
			b.mustRemove(t, HeadKey)
			b.truncate(t, historyKey(records))
		}, 0, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t)
				b.mustPropose(t, upload("first", largeRows(20_000)))
				b.mustPropose(t, correction("second", 0, agree.Row{Kind: agree.KindMember, Member: "another"}))
				b.writeVersionsTo(t, records)
				base := b.head(t).Version
				if tt.damage != nil {
					tt.damage(t, b)
					if tt.from == 0 {
						base++ // one more Version may have been accepted without its record being written
					}
				}
				op := newOperator(t, b.emul)
				calls, start := b.emul.Counts(), time.Now()
				_, err := op.Propose(t.Context(), restore("x", tt.from, base))
				is.True(errors.Is(err, tt.err))
				elapsed, after := time.Since(start), b.emul.Counts()
				t.Logf("%s: %d Get, %d List, %d Swap, %s of virtual time", name, after["Get"]-calls["Get"], after["List"]-calls["List"],
					after["Swap"]-calls["Swap"], elapsed)
				is.Equal(op.stats.All("Store.Role.Operator.Budget"), map[string]int64{})
				is.True(elapsed < op.Config.ProposeTimeout)
			})
		})
	}
}
