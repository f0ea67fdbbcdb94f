package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"
)

func TestReadFrameRejectsCorruptFrames(t *testing.T) {
	good, err := AppendFrame(nil, []byte("payload"))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		corrupt func(b []byte) []byte
		want    error
	}{
		"one bit flipped":         {func(b []byte) []byte { b[9] ^= 1; return b }, ErrCorrupt},
		"truncated payload":       {func(b []byte) []byte { return b[:len(b)-1] }, io.ErrUnexpectedEOF},
		"truncated header":        {func(b []byte) []byte { return b[:3] }, io.ErrUnexpectedEOF},
		"length above the limit":  {func(b []byte) []byte { binary.BigEndian.PutUint32(b, MaxFrameBytes+1); return b }, ErrTooLong},
		"connection ended before": {func([]byte) []byte { return nil }, io.EOF},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ReadFrame(bytes.NewReader(tt.corrupt(bytes.Clone(good))))
			if !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

func FuzzReadFrame(f *testing.F) {
	good, err := AppendFrame(nil, []byte("payload"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0, 0, 0, 1})
	f.Add([]byte{0, 127, 255, 255, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		payload, err := ReadFrame(bytes.NewReader(b))
		if err != nil {
			return
		}
		again, err := AppendFrame(nil, payload)
		is.NoErr(err)
		is.True(bytes.HasPrefix(b, again)) // an accepted frame has only one encoding
		var m message
		_ = Decode(payload, &m) // never panics
	})
}

// TestEncodeFrameEqualsAppendFrame guards against a header that does not fit the payload after it.
func TestEncodeFrameEqualsAppendFrame(t *testing.T) {
	tests := map[string]message{
		"empty": {},
		"short": {ID: 7, Type: "Echo", Body: []byte("body")},
		"long":  {ID: 7, Type: "Echo", Body: bytes.Repeat([]byte("body"), 1<<16)},
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			payload, err := Encode(m)
			is.NoErr(err)
			want, err := AppendFrame(nil, payload)
			is.NoErr(err)
			got, err := encodeFrame(m)
			is.NoErr(err)
			is.Equal(got, want)
		})
	}
}
