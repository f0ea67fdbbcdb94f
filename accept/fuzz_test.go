package accept

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// FuzzChunk guards against a chunk whose decoding panics, fails without ErrCorrupt, or returns rows
// that differ after they are stored again. The data is used as a compressed chunk with a wrong hash and
// as an uncompressed one with its own hash. The seed corpus is in testdata/fuzz/FuzzChunk.
func FuzzChunk(f *testing.F) {
	c, err := newCodec()
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := c.decode("0", data, func(agree.Row) {}); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("chunk with a wrong hash: %v", err)
		}
		ch := newChunk(data)
		var rows []agree.Row
		if err := c.decode(ch.id, c.encode(ch), func(r agree.Row) { rows = append(rows, r) }); err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Fatal(err)
			}
			return
		}
		a, err := agree.New(1, rows)
		if err != nil {
			return
		}
		chunks, err := split(a.Rows())
		if err != nil {
			t.Fatal(err)
		}
		var again []agree.Row
		for _, ch := range chunks {
			if err := c.decode(ch.id, c.encode(ch), func(r agree.Row) { again = append(again, r) }); err != nil {
				t.Fatal(err)
			}
		}
		if b, err := agree.New(1, again); err != nil || b.Hash() != a.Hash() {
			t.Fatalf("rows read back differently: %v", err)
		}
	})
}

// FuzzHead guards against a head or a record whose decoding panics, fails without ErrCorrupt, or
// returns a head that differs after it is stored again. The seed corpus is in
// testdata/fuzz/FuzzHead.
func FuzzHead(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := decodeRecord(historyKey(3), data); err != nil && !errors.Is(err, ErrCorrupt) {
			t.Fatal(err)
		}
		h, err := DecodeHead(store.Value{Key: HeadKey, Data: data, Revision: 9})
		if err != nil {
			if !errors.Is(err, ErrCorrupt) || h.Version != 0 {
				t.Fatalf("head %+v, %v", h, err)
			}
			return
		}
		first, err := json.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeHead(store.Value{Key: HeadKey, Data: first, Revision: 9})
		if err != nil {
			t.Fatal(err)
		}
		if second, err := json.Marshal(again); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("head reads back differently: %s, %s, %v", first, second, err)
		}
	})
}
