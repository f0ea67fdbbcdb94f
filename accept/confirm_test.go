package accept

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// restoredBench returns a bench whose store came back from a copy at Version 2 although Version 4 was accepted, the
// head and the agreement of Version 4 as a daemon has read them, and those of Version 3.
func restoredBench(t *testing.T) (b *bench, heads map[string]Head, held map[string]*agree.Agreement) {
	t.Helper()
	b = newBench(t)
	b.mustPropose(t, sheetOf("sheet", 0, map[string]int{"a": 1, "b": 1}))
	b.mustPropose(t, correction("two", 1, capRow("a", 2)))
	c := b.emul.Copy()
	heads, held = map[string]Head{}, map[string]*agree.Agreement{}
	for _, id := range []string{"three", "four"} {
		b.mustPropose(t, correction(id, 2, capRow(map[string]string{"three": "a", "four": "b"}[id], 3)))
		heads[id] = b.head(t)
		got, err := b.Load(t.Context(), heads[id])
		if err != nil {
			t.Fatal(err)
		}
		held[id] = got
	}
	b.emul.Restore(c)
	return newBenchOn(t, b.emul), heads, held
}

// TestConfirm guards against Versions that are lost for good, or whose numbers are given out to other content, after
// the store came back from a copy.
func TestConfirm(t *testing.T) {
	confirm := func(t *testing.T, b *bench, held *agree.Agreement, known Head) {
		t.Helper()
		if _, err := b.Confirm(t.Context(), held, known); err != nil {
			t.Fatal(err)
		}
	}
	four := map[string]int{"a": 3, "b": 3}
	tests := map[string]func(t *testing.T, is *is.I, b *bench, heads map[string]Head, held map[string]*agree.Agreement){
		"no change is accepted before": func(t *testing.T, is *is.I, b *bench, heads map[string]Head, held map[string]*agree.Agreement) {
			for _, p := range []Proposal{
				correction("other", 2, capRow("a", 9)), sheetOf("sheet2", 2, map[string]int{"a": 9}),
				{ID: "restore", Author: "operator", Kind: KindRestore, Base: 2, Restore: 1},
			} {
				_, err := b.Propose(t.Context(), p)
				is.True(errors.Is(err, ErrUnconfirmed))
			}
			confirm(t, b, held["four"], heads["four"])
			is.Equal(b.mustPropose(t, correction("other", 4, capRow("a", 9))).Version, held["four"].Version()+1)
		},
		"lost Version is written again with the ids of its changes": func(t *testing.T, is *is.I, b *bench, heads map[string]Head, held map[string]*agree.Agreement) {
			confirm(t, b, held["four"], heads["four"])
			is.Equal(b.head(t).Record, heads["four"].Record)
			is.Equal(b.caps(t), four)
			res := b.mustPropose(t, correction("three", 2, capRow("a", 3)))
			is.True(res.Repeated)
			entries, err := b.History(t.Context(), b.head(t), 10)
			is.NoErr(err)
			for _, e := range entries {
				is.Equal(e.Rows, RowsKept)
			}
			_, err = b.Collect(t.Context())
			is.NoErr(err)
		},
		"lost Version is written again although its record is not known": func(t *testing.T, is *is.I, b *bench, heads map[string]Head, held map[string]*agree.Agreement) {
			confirm(t, b, held["four"], heads["three"])
			h := b.head(t)
			is.Equal(h.Version, held["four"].Version())
			is.Equal(h.Hash, held["four"].Hash())
			is.Equal(h.Kind, KindConfirm)
			is.Equal(b.caps(t), four)
			_, err := b.Collect(t.Context())
			is.NoErr(err)
		},
		"head that no daemon is ahead of is only confirmed": func(t *testing.T, is *is.I, b *bench, _ map[string]Head, _ map[string]*agree.Agreement) {
			before := b.head(t)
			got, err := b.Load(t.Context(), before)
			is.NoErr(err)
			confirm(t, b, got, Head{})
			is.Equal(b.head(t).Record, before.Record)
			is.Equal(b.mustPropose(t, correction("other", 2, capRow("a", 9))).Version, before.Version+1)
		},
		"daemon that is behind head confirms nothing": func(t *testing.T, is *is.I, b *bench, _ map[string]Head, _ map[string]*agree.Agreement) {
			confirm(t, b, agree.Empty(), Head{})
			is.True(b.head(t).IsUnconfirmed())
		},
		"higher Version replaces one that was confirmed before": func(t *testing.T, is *is.I, b *bench, heads map[string]Head, held map[string]*agree.Agreement) {
			confirm(t, b, held["three"], heads["three"])
			confirm(t, newBenchOn(t, b.emul), held["four"], heads["four"])
			confirm(t, b, held["three"], heads["three"])
			is.Equal(b.head(t).Record, heads["four"].Record)
			is.Equal(b.caps(t), four)
		},
		"change accepted after a confirmation is not replaced": func(t *testing.T, is *is.I, b *bench, heads map[string]Head, held map[string]*agree.Agreement) {
			got, err := b.Load(t.Context(), b.head(t))
			is.NoErr(err)
			confirm(t, b, got, Head{})
			b.mustPropose(t, correction("other", 2, capRow("a", 9)))
			confirm(t, newBenchOn(t, b.emul), held["four"], heads["four"])
			is.Equal(b.caps(t), map[string]int{"a": 9, "b": 1})
		},
		"store restored again after a confirmation": func(t *testing.T, is *is.I, b *bench, heads map[string]Head, held map[string]*agree.Agreement) {
			c := b.emul.Copy()
			confirm(t, b, held["four"], heads["four"])
			b.emul.Restore(c)
			is.True(b.head(t).IsUnconfirmed())
			confirm(t, b, held["four"], heads["four"])
			is.Equal(b.head(t).Record, heads["four"].Record)
			is.Equal(b.caps(t), four)
		},
		"store restored before the write of head": func(t *testing.T, is *is.I, b *bench, heads map[string]Head, held map[string]*agree.Agreement) {
			b.restoreBeforeHead()
			confirm(t, b, held["four"], heads["four"])
			is.True(b.head(t).IsUnconfirmed())
			confirm(t, b, held["four"], heads["four"])
			is.True(!b.head(t).IsUnconfirmed())
			is.Equal(b.caps(t), four)
		},
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) {
			b, heads, held := restoredBench(t)
			check(t, is.New(t), b, heads, held)
		})
	}
}

// restoreBeforeHead restores the store from its present state before the next write of head.
func (b *bench) restoreBeforeHead() {
	c := b.emul.Copy()
	b.emul.BeforeWrite(func(_, key string) {
		if key == HeadKey {
			b.emul.BeforeWrite(nil)
			b.emul.Restore(c)
		}
	})
}

// TestProposeAcrossRestore guards against an accepted change without its chunks or the record before it, because the
// store came back from a copy while the change was prepared.
func TestProposeAcrossRestore(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.mustPropose(t, sheetOf("sheet", 0, map[string]int{"a": 1}))
	b.restoreBeforeHead()
	res := b.mustPropose(t, correction("two", 1, capRow("a", 2)))
	is.True(b.head(t).IsUnconfirmed())
	is.Equal(b.caps(t), map[string]int{"a": 2})
	got, err := b.Load(t.Context(), b.head(t))
	is.NoErr(err)
	_, err = b.Confirm(t.Context(), got, Head{})
	is.NoErr(err)
	is.Equal(b.mustPropose(t, correction("three", res.Version, capRow("a", 3))).Version, res.Version+1)
}

// TestRecordLostInRestore guards against a history with a gap, because an Acceptor takes a record for written that the
// store has lost.
func TestRecordLostInRestore(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.mustPropose(t, sheetOf("sheet", 0, map[string]int{"a": 1}))
	var c *emul.Copy // with the head of Version 2, but without its record
	b.emul.BeforeWrite(func(_, key string) {
		if key == historyKey(2) {
			c = b.emul.Copy()
		}
	})
	res := b.mustPropose(t, correction("two", 1, capRow("a", 2)))
	held, err := b.Load(t.Context(), b.head(t))
	is.NoErr(err)
	b.emul.Restore(c)
	_, err = b.Confirm(t.Context(), held, Head{})
	is.NoErr(err)
	b.mustPropose(t, correction("three", res.Version, capRow("a", 3)))
	_, err = b.At(t.Context(), res.Version)
	is.NoErr(err)
}

// TestUnconfirmedNeedsEras guards against a store that states no era, or heads written by an earlier build, with which
// no change would ever be accepted.
func TestUnconfirmedNeedsEras(t *testing.T) {
	tests := map[string]struct {
		written, read store.Era
		want          bool
	}{
		"no eras":              {0, 0, false},
		"written without":      {0, 2, false},
		"read without":         {2, 0, false},
		"same era":             {2, 2, false},
		"restored in between":  {1, 2, true},
		"written in the later": {2, 1, false}, // restored while it was read
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Head{Era: tt.written, ReadIn: tt.read}.IsUnconfirmed(), tt.want)
		})
	}
}
