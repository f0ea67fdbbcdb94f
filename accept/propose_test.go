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
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/store"
)

func TestRebaseAcceptsDisjointRowsAndRefusesOverlap(t *testing.T) {
	start := map[string]int{"a": 1, "b": 1}
	tests := map[string]struct {
		later     []agree.Row   // corrections after the start
		wait      time.Duration // before the proposal
		p         Proposal
		err       error
		conflicts []string
		want      map[string]int
		kept      int
	}{
		"correction of another row is kept": {
			later: []agree.Row{capRow("a", 5)}, p: correction("x", 1, capRow("b", 7)),
			want: map[string]int{"a": 5, "b": 7},
		},
		"correction of the same row is refused": {
			later: []agree.Row{capRow("a", 5)}, p: correction("x", 1, capRow("a", 7)),
			err: ErrConflict, conflicts: []string{"cap/a/s: theirs 5 units, ours 7 units"}, want: map[string]int{"a": 5, "b": 1},
		},
		"correction that restores the base value is refused": {
			later: []agree.Row{capRow("a", 5)}, p: correction("x", 1, capRow("a", 1)),
			err: ErrConflict, conflicts: []string{"cap/a/s: theirs 5 units, ours 1 units"}, want: map[string]int{"a": 5, "b": 1},
		},
		"correction to the value in head is no conflict": {
			later: []agree.Row{capRow("a", 5)}, p: correction("x", 1, capRow("a", 5)), want: map[string]int{"a": 5, "b": 1},
		},
		"sheet with base does not undo a later correction": {
			later: []agree.Row{capRow("a", 5)}, p: sheetOf("x", 1, map[string]int{"a": 1, "b": 7}),
			want: map[string]int{"a": 5, "b": 7}, kept: 1,
		},
		"sheet with base that changes a corrected row is refused": {
			later: []agree.Row{capRow("a", 5)}, p: sheetOf("x", 1, map[string]int{"a": 2, "b": 7}),
			err: ErrConflict, conflicts: []string{"cap/a/s: theirs 5 units, ours 2 units"}, want: map[string]int{"a": 5, "b": 1},
		},
		"sheet with base that deletes a corrected row is refused": {
			later: []agree.Row{capRow("a", 5)}, p: sheetOf("x", 1, map[string]int{"b": 7}),
			err: ErrConflict, conflicts: []string{"cap/a/s: theirs 5 units, ours absent"}, want: map[string]int{"a": 5, "b": 1},
		},
		"sheet with the base of head deletes rows": {
			p: sheetOf("x", 1, map[string]int{"b": 7}), want: map[string]int{"b": 7},
		},
		"sheet without base soon after another is refused": {
			wait: 14 * time.Minute, p: sheetOf("x", 0, map[string]int{"a": 1, "b": 7}),
			err: ErrBaseRequired, want: start,
		},
		"sheet without base and no correction since the last sheet is accepted": {
			wait: 15 * time.Minute, p: sheetOf("x", 0, map[string]int{"a": 1, "b": 7}),
			want: map[string]int{"a": 1, "b": 7},
		},
		"sheet without base cannot undo a correction": {
			later: []agree.Row{capRow("a", 5)}, wait: time.Hour, p: sheetOf("x", 0, map[string]int{"a": 1, "b": 7}),
			err: ErrConflict, conflicts: []string{"cap/a/s: theirs 5 units, ours 1 units"}, want: map[string]int{"a": 5, "b": 1},
		},
		"sheet without base that has the correction is accepted": {
			later: []agree.Row{capRow("a", 5)}, wait: time.Hour, p: sheetOf("x", 0, map[string]int{"a": 5, "b": 7}),
			want: map[string]int{"a": 5, "b": 7},
		},
		"sheet from before the first upload cannot delete later rows": {
			p:    Proposal{ID: "x", Author: "p", Kind: KindSheet, HasBase: true, Change: agree.Change{Put: sampleRows(map[string]int{"c": 2})}},
			want: map[string]int{"a": 1, "b": 1, "c": 2}, kept: 4,
		},
		"base that has not been accepted is refused": {
			p: correction("x", 9, capRow("a", 7)), err: ErrBaseUnknown, want: start,
		},
		"invalid result is refused as a whole": {
			p: correction("x", 1, capRow("a", 7), capRow("nobody", 1)), err: agree.ErrInvalid, want: start,
		},
		"deletion of a row that does not exist is refused": {
			p: Proposal{
				ID: "x", Author: "o", Kind: KindCorrection, Base: 1,
				Change: agree.Change{Delete: []agree.Key{"cap/a/t"}},
			}, err: ErrProposal, want: start,
		},
		"empty sheet is refused": {
			p: Proposal{ID: "x", Author: "p", Kind: KindSheet, Base: 1}, err: ErrProposal, want: start,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t)
				b.mustPropose(t, sheetOf("first", 0, start))
				for i, r := range tt.later {
					b.mustPropose(t, correction(fmt.Sprint("later", i), 0, r))
				}
				time.Sleep(tt.wait)
				res, err := b.Propose(t.Context(), tt.p)
				if tt.err == nil {
					is.NoErr(err)
					is.Equal(int(res.Version), 2+len(tt.later))
				}
				is.True(errors.Is(err, tt.err))
				var ce *ConflictError
				is.Equal(errors.As(err, &ce), len(tt.conflicts) > 0)
				if ce != nil {
					var got []string
					for _, c := range ce.Conflicts {
						got = append(got, c.String())
					}
					is.Equal(got, tt.conflicts)
				}
				is.Equal(b.caps(t), tt.want)
				is.Equal(len(res.Kept), tt.kept)
			})
		})
	}
}

func TestLostAnswersAreResolved(t *testing.T) {
	tests := map[string]struct {
		fault      func(s *emul.Store)
		concurrent int // number of other changes accepted while the outcome is unknown
		err        error
		want       int
		version    int
	}{
		"answer broken after the swap": {
			fault: func(s *emul.Store) { s.FailWrites(HeadKey, 1, emul.Broken, 0) }, want: 5, version: 2,
		},
		"answer missing after the swap": {
			fault: func(s *emul.Store) { s.FailWrites(HeadKey, 1, emul.Missing, 0) }, want: 5, version: 2,
		},
		"swap takes effect after its deadline": {
			fault: func(s *emul.Store) { s.FailWrites(HeadKey, 1, emul.Late, 3*time.Second) }, want: 5, version: 2,
		},
		"swap takes effect after the same swap was sent again": {
			fault: func(s *emul.Store) { s.FailWrites(HeadKey, 1, emul.Late, 30*time.Second) }, want: 5, version: 2,
		},
		"lost twice": {
			fault: func(s *emul.Store) { s.FailWrites(HeadKey, 2, emul.Late, 5*time.Second) }, want: 5, version: 2,
		},
		"another change is accepted before the late swap": {
			fault: func(s *emul.Store) { s.FailWrites(HeadKey, 1, emul.Late, 3*time.Second) }, concurrent: 1, want: 5, version: 3,
		},
		"more changes than head has ids are accepted before the answer is determined": {
			fault: func(s *emul.Store) { s.FailWrites(HeadKey, 1, emul.Broken, 0) }, concurrent: 300, want: 5, version: 2,
		},
		"more changes than head has ids are accepted before the late swap": {
			fault: func(s *emul.Store) { s.FailWrites(HeadKey, 1, emul.Late, 3*time.Second) }, concurrent: 300, want: 5, version: 302,
		},
		"outage after the swap until the proposal gives up": {
			fault: func(s *emul.Store) {
				s.FailWrites(HeadKey, 1, emul.Broken, 0)
				time.AfterFunc(time.Millisecond, func() { s.SetOutage(emul.Rejecting) })
			}, err: ErrUnknown, want: 5, version: 2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t)
				b.mustPropose(t, sheetOf("first", 0, map[string]int{"a": 1, "b": 1}))
				other := newBenchOn(t, b.emul)
				swaps := 0
				b.emul.BeforeWrite(func(call, key string) {
					if call != "Swap" || key != HeadKey {
						return
					}
					if swaps++; swaps > 1 {
						return
					}
					go func() {
						time.Sleep(time.Microsecond) // after the swap, unless that is late
						for i := range tt.concurrent {
							p := correction(fmt.Sprint("rival", i), 0, capRow("b", 9+i))
							if _, err := other.Propose(t.Context(), p); err != nil {
								t.Errorf("%s: %v", p.ID, err)
							}
						}
					}()
				})
				tt.fault(b.emul)
				res, err := b.Propose(t.Context(), correction("x", 1, capRow("a", 5)))
				is.True(errors.Is(err, tt.err))
				is.Equal(b.stats.Value("Store.Swap.Unknown") > 0, true) // the fault took place
				if tt.err != nil {
					b.emul.SetOutage(emul.NoOutage)
					time.Sleep(time.Minute)
					res, err = b.Propose(t.Context(), correction("x", 1, capRow("a", 5)))
					is.NoErr(err)
					is.True(res.Repeated)
				}
				is.Equal(int(res.Version), tt.version)
				time.Sleep(time.Minute) // late writes take effect
				is.Equal(b.caps(t)["a"], tt.want)
				head, err := b.Head(t.Context())
				is.NoErr(err)
				is.Equal(int(head.Version), 2+tt.concurrent)
				if tt.concurrent < maxHeadChanges {
					again := b.mustPropose(t, correction("x", 1, capRow("a", 5)))
					is.Equal(again, Result{Version: res.Version, Repeated: true}) // accepted only once
				}
			})
		})
	}
}

func TestHistoryDescribesEachVersion(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.mustPropose(t, sheetOf("first", 0, map[string]int{"a": 1}))
	b.mustPropose(t, correction("second", 0, capRow("a", 2)))
	b.mustPropose(t, correction("third", 0, capRow("a", 3)))
	for v, want := range map[ident.Version]int{1: 1, 2: 2, 3: 3} {
		at, err := b.At(t.Context(), v)
		is.NoErr(err)
		a, err := newBenchOn(t, b.emul).Load(t.Context(), at)
		is.NoErr(err)
		is.Equal(int(a.Cap("a", "s")), want)
	}
	at, err := b.At(t.Context(), 2)
	is.NoErr(err)
	is.Equal(at.Author, "operator")
	is.Equal(at.Change, ident.ChangeID("second"))
	is.Equal(at.Keys, []agree.Key{"cap/a/s"})
	_, err = b.At(t.Context(), 4)
	is.True(errors.Is(err, ErrBaseUnknown))
}

func TestLoadNeverReturnsPartialAgreement(t *testing.T) {
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
		"chunk replaced by another valid one": {func(t *testing.T, d store.Driver, key string) {
			c, err := newCodec()
			if err != nil {
				t.Fatal(err)
			}
			rewrite(t, d, key, func([]byte) []byte { return c.encode(newChunk([]byte{})) })
		}, ErrCorrupt},
		"head with another version": {func(t *testing.T, d store.Driver, _ string) {
			rewrite(t, d, HeadKey, func(b []byte) []byte {
				return []byte(strings.Replace(string(b), `"Version":1`, `"Version":2`, 1))
			})
		}, ErrCorrupt},
		"head truncated": {func(t *testing.T, d store.Driver, _ string) {
			rewrite(t, d, HeadKey, func(b []byte) []byte { return b[:len(b)/2] })
		}, ErrCorrupt},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.mustPropose(t, sheetOf("first", 0, map[string]int{"a": 1}))
			tt.damage(t, b.emul.Driver(), b.emul.Keys(chunkPrefix)[0])
			fresh := newBenchOn(t, b.emul)
			head, err := fresh.Head(t.Context())
			var a *agree.Agreement
			if err == nil {
				a, err = fresh.Load(t.Context(), head)
			}
			is.True(errors.Is(err, tt.err))
			is.Equal(a, nil)
		})
	}
}

func rewrite(t *testing.T, d store.Driver, key string, f func([]byte) []byte) {
	t.Helper()
	v, err := d.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Swap(t.Context(), key, v.Revision, f(v.Data), 0); err != nil {
		t.Fatal(err)
	}
}
