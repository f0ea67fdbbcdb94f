package fanout

import (
	"bytes"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"

	"github.com/marjoramcroft/marjoramcroft/wire"
)

// maxDecompressedBytes limits the decompressed size of an update.
const maxDecompressedBytes = wire.MaxDecompressedBytes

// newStateEncoder returns an encoder for one snapshot. At this level its tables take 0.3 MB
// instead of 1.3 MB. It is not kept, since snapshots are rarely encoded.
func newStateEncoder() *zstd.Encoder {
	// NewWriter fails only on invalid options.
	enc, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(partBytes),
		zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest))
	return enc
}

// pack encodes v as msgpack and compresses it.
func pack(v any) ([]byte, error) {
	b, err := wire.Encode(v)
	if err != nil {
		return nil, err
	}
	return wire.Compress(b), nil
}

// unpackStream returns a reader of the decompressed content of b. It buffers one window at a
// time and fails after maxDecompressedBytes.
func unpackStream(b []byte) (io.ReadCloser, error) {
	// The decoder is not reused, since it would keep its window in memory.
	dec, err := zstd.NewReader(bytes.NewReader(b), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxDecompressedBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, fmt.Errorf("decompress state: %w", err)
	}
	return dec.IOReadCloser(), nil
}

// unpack decompresses and decodes the output of pack into v.
func unpack(b []byte, v any) error {
	raw, err := wire.Decompress(b)
	if err != nil {
		return err
	}
	return wire.Decode(raw, v)
}
