package fanout

import (
	"errors"
	"testing"

	"github.com/marjoramcroft/marjoramcroft/wire"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

// fuzzBase returns the base agreement of the fuzzed deltas.
func fuzzBase(t testing.TB) *agree.Agreement {
	t.Helper()
	a, err := agree.New(4, []agree.Row{
		{Kind: agree.KindMember, Member: "m"},
		{Kind: agree.KindService, Service: "s"},
		{Kind: agree.KindCap, Member: "m", Service: "s", Units: 7},
		{
			Kind: agree.KindRoute, Member: "m", Service: "s", Route: "r", Prefix: "/",
			Class: agree.Short, Repeat: agree.RepeatByMethod, Timeout: agree.MaxShortTimeout,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// FuzzDelta guards against a delta that panics, is applied in part, or results in an invalid
// agreement. The fuzz input is the uncompressed rows. The seed corpus is in
// testdata/fuzz/FuzzDelta.
func FuzzDelta(f *testing.F) {
	base := fuzzBase(f)
	hash := base.Hash()
	f.Fuzz(func(t *testing.T, rows []byte) {
		d := Delta{Base: 4, BaseHash: hash, Version: 5, Rows: wire.Compress(rows)}
		var drop *DropError
		if _, err := d.apply(base); err != nil && !errors.As(err, &drop) {
			t.Fatalf("error without a reason: %v", err)
		}
		if base.Version() != 4 || base.Hash() != hash {
			t.Fatal("the base has changed")
		}
		c, err := d.Change()
		if err != nil {
			return
		}
		want, err := base.Apply(5, c)
		if err != nil {
			return
		}
		// With the hash of its result, the delta must be applied as a whole.
		d.Hash = want.Hash()
		got, err := d.apply(base)
		if err != nil {
			t.Fatalf("delta with the right hash: %v", err)
		}
		anew, err := agree.New(5, got.Rows())
		if err != nil || anew.Hash() != got.Hash() {
			t.Fatalf("result is not valid: %v", err)
		}
		again, err := NewDelta(base, got)
		if err != nil {
			t.Fatal(err)
		}
		if same, err := again.apply(base); err != nil || same.Hash() != got.Hash() {
			t.Fatalf("delta encoded again: %v", err)
		}
	})
}

// FuzzSnapshot guards against a snapshot that panics, or results in an agreement that is invalid
// or changes when encoded and decoded again. The fuzz input is the uncompressed rows. The seed
// corpus is in testdata/fuzz/FuzzSnapshot.
func FuzzSnapshot(f *testing.F) {
	f.Fuzz(func(t *testing.T, rows []byte) {
		s := Snapshot{Version: 5, Rows: wire.Compress(rows)}
		var drop *DropError
		if _, err := s.Agreement(); err != nil && !errors.As(err, &drop) {
			t.Fatalf("error without a reason: %v", err)
		}
		var set rowSet
		if err := unpack(s.Rows, &set); err != nil {
			return
		}
		var all []agree.Row
		for _, r := range set.Put {
			all = append(all, fromWireRow(r))
		}
		want, err := agree.New(5, all)
		if err != nil {
			return
		}
		again, err := NewSnapshot(want)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := again.Agreement(); err != nil || got.Hash() != want.Hash() || got.Len() != want.Len() {
			t.Fatalf("snapshot reads back differently: %v", err)
		}
	})
}

// FuzzCompressed guards against compressed updates that panic or decompress without limit. The
// seed corpus is in testdata/fuzz/FuzzCompressed.
func FuzzCompressed(f *testing.F) {
	f.Fuzz(func(_ *testing.T, data []byte) {
		var set rowSet
		_ = unpack(data, &set)
	})
}
