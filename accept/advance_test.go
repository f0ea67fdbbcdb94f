package accept

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// memberCaps returns the caps of n members in units, by member.
func memberCaps(n int) map[string]int {
	out := map[string]int{}
	for i := range n {
		out[fmt.Sprint("m", i)] = 1 + i%9
	}
	return out
}

// raisedCaps returns the caps of memberCaps(n) as rows, each raised by one unit.
func raisedCaps(n int) []agree.Row {
	var out []agree.Row
	for m, units := range memberCaps(n) {
		out = append(out, capRow(m, units+1))
	}
	return out
}

// TestAdvanceEqualsLoad guards against an agreement that Advance derives from an earlier one and that
// differs from the accepted agreement.
func TestAdvanceEqualsLoad(t *testing.T) {
	added := agree.Row{Kind: agree.KindMember, Member: "new"}
	tests := map[string]struct {
		change     agree.Change
		olderBase  bool // the base is older than the Version loaded last
		manyChunks bool // more than maxAdvanceChunks chunks change
	}{
		"cap changed":             {change: agree.Change{Put: []agree.Row{capRow("m1", 77)}}},
		"row added":               {change: agree.Change{Put: []agree.Row{added}}},
		"row deleted":             {change: agree.Change{Delete: []agree.Key{"cap/m2/s"}}},
		"rows added and deleted":  {change: agree.Change{Put: []agree.Row{added}, Delete: []agree.Key{"cap/m3/s", "member/m3"}}},
		"rows of several chunks":  {change: agree.Change{Put: []agree.Row{capRow("m1", 9), capRow("m1500", 9), capRow("m999", 9)}}},
		"base not loaded last":    {change: agree.Change{Put: []agree.Row{capRow("m1", 77)}}, olderBase: true},
		"all rows changed":        {change: agree.Change{Put: raisedCaps(12_000)}, manyChunks: true},
		"row changed to the same": {change: agree.Change{Put: []agree.Row{capRow("m1", 2), capRow("m2", 8)}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			size := 2000
			if tt.manyChunks {
				size = 12_000 // more chunks than maxAdvanceChunks
			}
			b.mustPropose(t, sheetOf("first", 0, memberCaps(size)))
			reader := newBenchOn(t, b.emul)
			base := reader.mustAdvance(t, agree.Empty())
			if tt.olderBase {
				b.mustPropose(t, correction("between", 1, capRow("m5", 50)))
				_, err := reader.Load(t.Context(), b.head(t))
				is.NoErr(err)
			}
			p := correction("second", b.head(t).Version, tt.change.Put...)
			p.Change.Delete = tt.change.Delete
			b.mustPropose(t, p)
			got := reader.mustAdvance(t, base)
			want, err := newBenchOn(t, b.emul).Load(t.Context(), b.head(t))
			is.NoErr(err)
			is.Equal(got.Version(), want.Version())
			is.Equal(got.Hash(), want.Hash())
			is.Equal(got.Rows(), want.Rows())
			is.Equal(reader.stats.Value("Accept.Advances") > 0, !tt.olderBase && !tt.manyChunks) // otherwise all chunks are decoded
			is.Equal(reader.stats.Value("Accept.AdvancesFailed"), int64(0))
			is.Equal(reader.mustAdvance(t, got), got) // for the same head, the base itself is returned
		})
	}
}

// TestAdvanceNeverReturnsPartialAgreement guards against an agreement without the rows of a changed
// chunk, or with wrong ones, if the chunk or the hash in head is damaged.
func TestAdvanceNeverReturnsPartialAgreement(t *testing.T) {
	tests := map[string]struct {
		damage func(t *testing.T, d store.Driver, key string)
		err    error
	}{
		"chunk removed": {func(t *testing.T, d store.Driver, key string) {
			if err := d.Delete(t.Context(), key, 0); err != nil {
				t.Fatal(err)
			}
		}, ErrMissing},
		"chunk truncated": {func(t *testing.T, d store.Driver, key string) {
			rewrite(t, d, key, func(b []byte) []byte { return b[:len(b)-3] })
		}, ErrCorrupt},
		"head with another hash": {func(t *testing.T, d store.Driver, _ string) {
			rewrite(t, d, HeadKey, func(b []byte) []byte {
				var h Head
				if err := json.Unmarshal(b, &h); err != nil {
					t.Fatal(err)
				}
				h.Hash++
				out, err := json.Marshal(h)
				if err != nil {
					t.Fatal(err)
				}
				return out
			})
		}, ErrCorrupt},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.mustPropose(t, sheetOf("first", 0, memberCaps(2000)))
			reader := newBenchOn(t, b.emul)
			base := reader.mustAdvance(t, agree.Empty())
			old := b.head(t).Chunks
			b.mustPropose(t, correction("second", 1, capRow("m1", 77)))
			tt.damage(t, b.emul.Driver(), changedChunk(t, old, b.head(t).Chunks).key())
			head, err := reader.Head(t.Context())
			is.NoErr(err)
			got, err := reader.Advance(t.Context(), head, base)
			is.True(errors.Is(err, tt.err))
			is.Equal(got, nil)
		})
	}
}

func changedChunk(t *testing.T, old, cur []ChunkID) ChunkID {
	t.Helper()
	for i, id := range cur {
		if old[i] != id {
			return id
		}
	}
	t.Fatal("no chunk has changed")
	return ""
}

func (b *bench) mustAdvance(t *testing.T, base *agree.Agreement) *agree.Agreement {
	t.Helper()
	got, err := b.Advance(t.Context(), b.head(t), base)
	if err != nil {
		t.Fatal(err)
	}
	return got
}
