package accept

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/store"
)

func (b *bench) mustCollect(t *testing.T) Collected {
	t.Helper()
	got, err := b.Collect(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func (b *bench) chunkCount() int { return len(b.emul.Keys(chunkPrefix)) }

// writeUnreferenced writes and returns the chunk of a proposal that is never accepted.
func (b *bench) writeUnreferenced(t *testing.T, caps map[string]int) chunk {
	t.Helper()
	a, err := agree.New(1, sampleRows(caps))
	if err != nil {
		t.Fatal(err)
	}
	chunks, err := split(a.Rows())
	if err != nil {
		t.Fatal(err)
	}
	if err := b.writeChunks(t.Context(), Head{}, chunks); err != nil {
		t.Fatal(err)
	}
	return chunks[0]
}

func TestCollect(t *testing.T) {
	const day = 24 * time.Hour
	tests := map[string]func(t *testing.T, is *is.I, b *bench){
		"chunk unreferenced for a day is removed, not sooner": func(t *testing.T, is *is.I, b *bench) {
			b.writeUnreferenced(t, map[string]int{"x": 9})
			is.Equal(b.mustCollect(t), Collected{Marked: 1})
			time.Sleep(day - time.Second)
			is.Equal(b.mustCollect(t), Collected{Marked: 1})
			time.Sleep(time.Second)
			is.Equal(b.mustCollect(t), Collected{Chunks: 1})
			is.Equal(b.chunkCount(), 1)
		},
		"chunk written again in the meantime stays another day": func(t *testing.T, is *is.I, b *bench) {
			b.writeUnreferenced(t, map[string]int{"x": 9})
			b.mustCollect(t)
			time.Sleep(day - time.Second)
			b.writeUnreferenced(t, map[string]int{"x": 9})
			time.Sleep(time.Second)
			is.Equal(b.mustCollect(t), Collected{Marked: 1})
			time.Sleep(day)
			is.Equal(b.mustCollect(t), Collected{Chunks: 1})
		},
		"chunk written again during the removal stays": func(t *testing.T, is *is.I, b *bench) {
			unreferenced := b.writeUnreferenced(t, map[string]int{"x": 9})
			b.mustCollect(t)
			time.Sleep(day)
			b.emul.BeforeWrite(func(call, key string) {
				if call == "Delete" && key == unreferenced.id.key() {
					b.emul.BeforeWrite(nil)
					b.writeUnreferenced(t, map[string]int{"x": 9})
				}
			})
			is.Equal(b.mustCollect(t), Collected{})
			is.Equal(b.chunkCount(), 2)
		},
		"change accepted during the collection keeps its chunks": func(t *testing.T, is *is.I, b *bench) {
			want := map[string]int{"x": 9}
			unreferenced := b.writeUnreferenced(t, want)
			b.mustCollect(t)
			time.Sleep(day)
			b.emul.BeforeWrite(func(call, key string) {
				if call == "Delete" && key == unreferenced.id.key() {
					b.emul.BeforeWrite(nil)
					b.mustPropose(t, sheetOf("late", 1, want))
				}
			})
			b.mustCollect(t)
			is.Equal(b.caps(t), want)
		},
		"bases within the last versions can be loaded, older ones are gone": func(t *testing.T, is *is.I, b *bench) {
			b.Config.KeepVersions = 3
			for i := range 10 {
				b.mustPropose(t, correction(fmt.Sprint("c", i), 0, capRow("a", 10+i)))
			}
			b.mustCollect(t)
			time.Sleep(day)
			// Of 11 Versions with one chunk each, head, the 3 before it and that of the sheet stay.
			is.Equal(b.mustCollect(t), Collected{Chunks: 6})
			for v := ident.Version(1); v <= 11; v++ {
				_, err := newBenchOn(t, b.emul).loadBase(t.Context(), b.head(t), v)
				if v == 1 || v >= 8 {
					is.NoErr(err)
				} else {
					is.True(errors.Is(err, ErrBaseRemoved))
				}
			}
			_, err := newBenchOn(t, b.emul).Propose(t.Context(), correction("old", 2, capRow("a", 99)))
			is.True(errors.Is(err, ErrBaseRemoved))
		},
		"history records are removed beyond their number, except the last sheet's": func(t *testing.T, is *is.I, b *bench) {
			b.Config.KeepVersions, b.Config.KeepHistory = 2, 5
			for i := range 10 {
				b.mustPropose(t, correction(fmt.Sprint("c", i), 0, capRow("a", 10+i)))
			}
			is.Equal(b.mustCollect(t).History, 4) // Versions 2 to 5 of 11; Version 1 stays, since a sheet produced it
			is.Equal(b.emul.Keys(historyPrefix)[0], historyKey(1))
			is.Equal(b.emul.Keys(historyPrefix)[1], historyKey(6))
			is.Equal(b.mustCollect(t).History, 0)
		},
		"unreadable history record stops the collection": func(t *testing.T, is *is.I, b *bench) {
			b.mustPropose(t, correction("c", 0, capRow("a", 10)))
			b.writeUnreferenced(t, map[string]int{"x": 9})
			b.mustCollect(t)
			time.Sleep(day)
			rewrite(t, b.emul.Driver(), historyKey(1), func([]byte) []byte { return []byte("{") })
			_, err := b.Collect(t.Context())
			is.True(errors.Is(err, ErrCorrupt))
			is.Equal(b.chunkCount(), 3)
		},
		"two collections at once do not overwrite each other's marks": func(t *testing.T, is *is.I, b *bench) {
			b.writeUnreferenced(t, map[string]int{"x": 9})
			b.emul.BeforeWrite(func(_, key string) {
				if key == garbageKey {
					b.emul.BeforeWrite(nil)
					b.mustCollect(t)
				}
			})
			_, err := b.Collect(t.Context())
			is.True(errors.Is(err, store.ErrConflict))
			is.True(strings.Contains(err.Error(), "collect"))
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				b.mustPropose(t, sheetOf("first", 0, map[string]int{"a": 1}))
				run(t, is.New(t), b)
			})
		})
	}
}

func (b *bench) head(t *testing.T) Head {
	t.Helper()
	head, err := b.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return head
}
