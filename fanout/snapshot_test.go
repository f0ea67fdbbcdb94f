package fanout_test

import (
	"errors"
	"slices"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/fanout"
)

// Guards against a snapshot with a lost, truncated or added part that is not rejected.
func TestDamagedSnapshotPartsRejected(t *testing.T) {
	a := agreementOfSize(t, 10_000)
	good, err := fanout.NewSnapshot(a)
	if err != nil {
		t.Fatal(err)
	}
	first, last := firstPart(t, good.Rows), lastPart(t, good.Rows)
	for name, tt := range map[string]struct {
		rows []byte
		want fanout.Reason
	}{
		"first part lost":        {good.Rows[first:], fanout.Corrupt},
		"last part lost":         {good.Rows[:last], fanout.Corrupt},
		"last part cut":          {good.Rows[:len(good.Rows)-1], fanout.Corrupt},
		"last part twice":        {slices.Concat(good.Rows, good.Rows[last:]), fanout.Corrupt},
		"whole state twice":      {slices.Concat(good.Rows, good.Rows), fanout.Corrupt},
		"bytes that are no part": {slices.Concat(good.Rows, []byte{1, 2, 3, 4, 5}), fanout.Corrupt},
		"nothing":                {nil, fanout.Corrupt},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := good
			s.Rows = tt.rows
			_, err := s.Agreement()
			var drop *fanout.DropError
			is.True(errors.As(err, &drop))
			is.Equal(drop.Reason, tt.want)
		})
	}
}

// firstPart returns the length of the first zstd frame of b, which is the shortest prefix that
// can be decompressed.
func firstPart(t *testing.T, b []byte) int {
	t.Helper()
	for n := 1; n < len(b); n++ {
		if isDecompressible(t, b[:n]) {
			return n
		}
	}
	t.Fatal("the state has one part only")
	return 0
}

// lastPart returns the offset of the last zstd frame of b.
func lastPart(t *testing.T, b []byte) int {
	t.Helper()
	for n := len(b) - 1; n > 0; n-- {
		if isDecompressible(t, b[n:]) {
			return n
		}
	}
	t.Fatal("the state has one part only")
	return 0
}

func isDecompressible(t *testing.T, b []byte) bool {
	t.Helper()
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1))
	if err != nil {
		t.Fatal(err)
	}
	defer dec.Close()
	_, err = dec.DecodeAll(b, nil)
	return err == nil
}

// Guards against a snapshot that cannot be exchanged with a daemon of the previous release,
// which encodes all rows in one part.
func TestSnapshotReadAcrossReleases(t *testing.T) {
	is := is.New(t)
	a := agreementOfSize(t, 10_000)
	s, err := fanout.NewSnapshot(a)
	is.NoErr(err)
	whole := mustDelta(t, agree.Empty(), a) // rows in one part
	got, err := fanout.Snapshot{Version: a.Version(), Hash: a.Hash(), Rows: whole.Rows}.Agreement()
	is.NoErr(err)
	is.Equal(got.Hash(), a.Hash())
	whole.Rows = s.Rows // rows in several parts, decoded at once
	c, err := whole.Change()
	is.NoErr(err)
	is.Equal(c.Put, a.Rows())
}
