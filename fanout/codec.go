package fanout

import (
	"bytes"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"

	"github.com/marjoramcroft/marjoramcroft/wire"
)

// maxDecoded bounds what a compressed update may expand to.
const maxDecoded = wire.MaxExpanded

// newStateEncoder returns an encoder for one state. Its level needs tables of 0.3 MB instead of
// 1.3 MB, and states are encoded too rarely to keep them.
func newStateEncoder() *zstd.Encoder {
	// The constructor fails on invalid options only.
	enc, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(partBytes),
		zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest))
	return enc
}

// pack returns v in msgpack, compressed.
func pack(v any) ([]byte, error) {
	b, err := wire.Encode(v)
	if err != nil {
		return nil, err
	}
	return wire.Compress(b), nil
}

// unpackStream returns a reader of what is compressed in b. It holds a window of the content at a
// time, and ends with an error after maxDecoded bytes.
func unpackStream(b []byte) (io.ReadCloser, error) {
	// A new decoder, since one that is kept would keep its window too.
	dec, err := zstd.NewReader(bytes.NewReader(b), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxDecoded), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, fmt.Errorf("decompress state: %w", err)
	}
	return dec.IOReadCloser(), nil
}

// unpack reads v from what pack returned.
func unpack(b []byte, v any) error {
	raw, err := wire.Expand(b)
	if err != nil {
		return err
	}
	return wire.Decode(raw, v)
}
