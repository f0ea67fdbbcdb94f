package accept

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

func restore(id string, from, base ident.Version) Proposal {
	return Proposal{ID: ident.ChangeID(id), Author: "restorer", Kind: KindRestore, Restore: from, Base: base}
}

// mustRemove deletes a key of the store.
func (b *bench) mustRemove(t *testing.T, key string) {
	t.Helper()
	if err := b.emul.Driver().Delete(t.Context(), key, 0); err != nil {
		t.Fatal(err)
	}
}

// truncate removes the second half of the data of a key.
func (b *bench) truncate(t *testing.T, key string) {
	t.Helper()
	rewrite(t, b.emul.Driver(), key, func(data []byte) []byte { return data[:len(data)/2] })
}

// chunkOf returns the key of the only chunk of a Version.
func (b *bench) chunkOf(t *testing.T, v ident.Version) string {
	t.Helper()
	at, err := newFaultFreeAcceptor(t, b.emul).At(t.Context(), v)
	if err != nil {
		t.Fatal(err)
	}
	return at.Chunks[0].key()
}

// threeVersions accepts Versions 1 (a=1 b=1), 2 (a=5 b=1) and 3 (a=5 b=7).
func threeVersions(t *testing.T) *bench {
	b := newBench(t)
	b.mustPropose(t, sheetOf("first", 0, map[string]int{"a": 1, "b": 1}))
	b.mustPropose(t, correction("second", 0, capRow("a", 5)))
	b.mustPropose(t, correction("third", 0, capRow("b", 7)))
	return b
}

func TestRestore(t *testing.T) {
	current := map[string]int{"a": 5, "b": 7}
	first := map[string]int{"a": 1, "b": 1}
	tests := map[string]struct {
		before  func(t *testing.T, b *bench)
		p       Proposal
		err     error
		errText string // text that the error must contain
		version int    // 0: refused
		want    map[string]int
	}{
		"an earlier version becomes a new version": {p: restore("x", 1, 3), version: 4, want: first},
		"restore equal to head makes no version":   {p: restore("x", 3, 3), version: 3, want: current},
		"concurrent correction is not undone": {
			before: func(t *testing.T, b *bench) { b.mustPropose(t, correction("later", 0, capRow("a", 9))) },
			p:      restore("x", 1, 3), err: ErrConflict, errText: "cap/a/s: theirs 9 units, ours 1 units",
			want: map[string]int{"a": 9, "b": 7},
		},
		"concurrent correction of a row that the restore leaves is not undone": {
			before: func(t *testing.T, b *bench) { b.mustPropose(t, correction("later", 0, capRow("a", 9))) },
			p:      restore("x", 2, 3), err: ErrConflict, errText: "cap/a/s: theirs 9 units, ours 5 units",
			want: map[string]int{"a": 9, "b": 7},
		},
		"concurrent deletion is not undone": {
			before: func(t *testing.T, b *bench) { b.mustPropose(t, sheetOf("later", 3, map[string]int{"b": 7})) },
			p:      restore("x", 1, 3), err: ErrConflict, errText: "cap/a/s: theirs absent, ours 1 units",
			want: map[string]int{"b": 7},
		},
		"concurrent correction to the restored value is no conflict": {
			before: func(t *testing.T, b *bench) { b.mustPropose(t, correction("later", 0, capRow("a", 1))) },
			p:      restore("x", 1, 3), version: 5, want: first,
		},
		"concurrent restore of the same version makes no second one": {
			before: func(t *testing.T, b *bench) { b.mustPropose(t, restore("other", 1, 3)) },
			p:      restore("x", 1, 3), version: 4, want: first,
		},
		"concurrent restore of another version is not undone": {
			before: func(t *testing.T, b *bench) { b.mustPropose(t, restore("other", 1, 3)) },
			p:      restore("x", 2, 3), err: ErrConflict, errText: "cap/a/s: theirs 1 units, ours 5 units", want: first,
		},
		"restore without the head that it was prepared against is refused": {
			p: restore("x", 1, 0), err: ErrBaseRequired, want: current,
		},
		"version that was never accepted is refused": {p: restore("x", 9, 3), err: ErrBaseUnknown, want: current},
		"base that was never accepted is refused":    {p: restore("x", 1, 9), err: ErrBaseUnknown, want: current},
		"no version is chosen while head is intact":  {p: restore("x", 0, 3), err: ErrHeadIntact, want: current},
		"restore with rows is refused": {
			p:   Proposal{ID: "x", Author: "o", Kind: KindRestore, Restore: 1, Base: 3, Change: sheetOf("", 0, first).Change},
			err: ErrProposal, want: current,
		},
		"correction that names a version is refused": {
			p:   Proposal{ID: "x", Author: "o", Kind: KindCorrection, Restore: 1, Base: 3, Change: sheetOf("", 0, first).Change},
			err: ErrProposal, want: current,
		},
		"collected version is refused and the others are listed": {
			before: func(t *testing.T, b *bench) {
				b.Config.KeepVersions = 1
				b.mustPropose(t, correction("fourth", 0, capRow("b", 8)))
				b.mustCollect(t)
				time.Sleep(25 * time.Hour)
				b.mustCollect(t)
			},
			p: restore("x", 2, 4), err: ErrNotRestorable, errText: "chunk is missing", want: map[string]int{"a": 5, "b": 8},
		},
		"version with a damaged chunk is refused and the others are listed": {
			before: func(t *testing.T, b *bench) { b.truncate(t, b.chunkOf(t, 1)) },
			p:      restore("x", 1, 3), err: ErrNotRestorable, errText: "versions that can be restored: 2-3", want: current,
		},
		"version with a damaged record is refused and the others are listed": {
			before: func(t *testing.T, b *bench) { b.truncate(t, historyKey(2)) },
			p:      restore("x", 2, 3), err: ErrNotRestorable, errText: "versions that can be restored: 1, 3", want: current,
		},
		"version without a record is refused and the others are listed": {
			before: func(t *testing.T, b *bench) { b.mustRemove(t, historyKey(1)) },
			p:      restore("x", 1, 3), err: ErrNotRestorable, errText: "versions that can be restored: 2-3", want: current,
		},
		"version with a record of other rows is refused": {
			before: func(t *testing.T, b *bench) {
				rewrite(t, b.emul.Driver(), historyKey(1), func(data []byte) []byte {
					return []byte(strings.Replace(string(data), `"Hash":`, `"Hash":1`, 1))
				})
			},
			p: restore("x", 1, 3), err: ErrNotRestorable, errText: "wrong hash", want: current,
		},
		"answer broken after the write is accepted once": {
			before: func(_ *testing.T, b *bench) { b.emul.FailWrites(HeadKey, 1, emul.Broken, 0) },
			p:      restore("x", 1, 3), version: 4, want: first,
		},
		"answer missing after the write is accepted once": {
			before: func(_ *testing.T, b *bench) { b.emul.FailWrites(HeadKey, 1, emul.Missing, 0) },
			p:      restore("x", 1, 3), version: 4, want: first,
		},
		"write that takes effect late is accepted once": {
			before: func(_ *testing.T, b *bench) { b.emul.FailWrites(HeadKey, 2, emul.Late, 5*time.Second) },
			p:      restore("x", 1, 3), version: 4, want: first,
		},
		"answers to the writes of chunks are lost": {
			before: func(_ *testing.T, b *bench) { b.emul.FailWrites("", 3, emul.Broken, 0) },
			p:      restore("x", 1, 3), version: 4, want: first,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := threeVersions(t)
				if tt.before != nil {
					tt.before(t, b)
				}
				before := b.head(t)
				res, err := b.Propose(t.Context(), tt.p)
				is.True(errors.Is(err, tt.err))
				if tt.err != nil {
					if !strings.Contains(err.Error(), tt.errText) {
						t.Fatal(err)
					}
					is.Equal(b.head(t).Revision, before.Revision) // head was not written
				} else {
					is.NoErr(err)
					is.Equal(int(res.Version), tt.version)
				}
				time.Sleep(time.Minute) // late writes take effect
				is.Equal(b.caps(t), tt.want)
				is.True(b.head(t).Version >= before.Version)
				if res.Unchanged {
					is.Equal(b.head(t).Revision, before.Revision)
					return
				}
				if tt.err == nil {
					again := b.mustPropose(t, tt.p)
					is.Equal(again, Result{Version: res.Version, Repeated: true}) // accepted only once
					is.Equal(b.head(t).Version, res.Version)
				}
			})
		})
	}
}

// TestHistoryShowsRestoreKind guards against a history record of a restore that looks like another
// change or lacks the author.
func TestHistoryShowsRestoreKind(t *testing.T) {
	is := is.New(t)
	b := threeVersions(t)
	b.mustPropose(t, restore("x", 1, 3))
	entries, err := b.History(t.Context(), b.head(t), 2)
	is.NoErr(err)
	is.Equal(len(entries), 2)
	is.Equal(entries[0].Kind, KindRestore)
	is.Equal(entries[0].Restored, ident.Version(1))
	is.Equal(entries[0].Base, ident.Version(3))
	is.Equal(entries[0].Author, "restorer")
	is.Equal(entries[0].Put, 2)
	is.Equal(entries[1].Kind, KindCorrection)
}

// TestPlanShowsWhatARestoreApplies guards against a plan that differs from the restore itself, or that
// writes to the store.
func TestPlanShowsWhatARestoreApplies(t *testing.T) {
	is := is.New(t)
	b := threeVersions(t)
	revision := b.emul.Revision()
	plan, err := b.PlanRestore(t.Context(), 1, 0)
	is.NoErr(err)
	is.Equal(b.emul.Revision(), revision)
	is.Equal(plan.Base, ident.Version(3))
	is.Equal(plan.Damage, "")
	res := b.mustPropose(t, restore("x", 1, plan.Base))
	is.Equal(res.Version, plan.Version)
	is.Equal(res.Restored, plan.Restored)
	is.Equal(res.Change, plan.Change)
}

// TestConcurrentRestores guards against two concurrent restores that are both accepted, so that the
// later one undoes the earlier.
func TestConcurrentRestores(t *testing.T) {
	for offset := range 20 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := threeVersions(t)
			b.mustPropose(t, correction("fourth", 0, capRow("a", 9), capRow("b", 9)))
			errs, done := make([]error, 2), make(chan struct{})
			for i := range errs {
				go func() {
					time.Sleep(time.Duration(offset*i) * time.Microsecond)
					other := newBenchOn(t, b.emul)
					_, errs[i] = other.Propose(t.Context(), restore(fmt.Sprint("r", i), ident.Version(2*i+1), 4))
					done <- struct{}{}
				}()
			}
			<-done
			<-done
			is.True((errs[0] == nil) != (errs[1] == nil)) // exactly one is accepted
			is.True(errors.Is(errors.Join(errs...), ErrConflict))
			is.Equal(int(b.head(t).Version), 5)
		})
	}
}

// TestRestoreKeepsItsChunksFromCollection guards against a collection that removes the chunks of a
// Version that is restored after the collection found them unreferenced.
func TestRestoreKeepsItsChunksFromCollection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := threeVersions(t)
		b.Config.KeepVersions = 1
		b.mustPropose(t, correction("fourth", 0, capRow("b", 8)))
		key := b.chunkOf(t, 2)
		b.mustCollect(t)
		time.Sleep(25 * time.Hour)
		b.emul.BeforeWrite(func(call, k string) {
			if call == "Delete" && k == key {
				b.emul.BeforeWrite(nil)
				b.mustPropose(t, restore("x", 2, 4))
			}
		})
		b.mustCollect(t)
		is.Equal(int(b.head(t).Version), 5)
		is.Equal(b.caps(t), map[string]int{"a": 5, "b": 1})
	})
}
