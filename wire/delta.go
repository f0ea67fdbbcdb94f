package wire

import (
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// deltaDictID identifies the base in a compressed delta. There is one base only, so any number serves.
const deltaDictID = 1

// Limits of the window of a delta. It covers base and result, so that equal parts are found at any distance.
const (
	minDeltaWindow = 64 << 10
	maxDeltaWindow = 16 << 20
)

// CompressDelta returns b compressed as a difference to base, which the receiver must have.
func CompressDelta(base, b []byte) ([]byte, error) {
	window := 1 << bits.Len(uint(len(base)+len(b)))
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(min(max(window, minDeltaWindow), maxDeltaWindow)), zstd.WithEncoderDictRaw(deltaDictID, base))
	if err != nil {
		return nil, fmt.Errorf("compress delta: %w", err)
	}
	out := enc.EncodeAll(b, nil)
	return out, enc.Close() //nolint:wrapcheck // without a writer, Close does not fail
}

// DecompressDelta decompresses the output of CompressDelta. It fails if another base leads to another result, which
// has a checksum.
func DecompressDelta(base, b []byte) ([]byte, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxDecompressedBytes), zstd.WithDecoderDictRaw(deltaDictID, base))
	if err != nil {
		return nil, fmt.Errorf("expand delta: %w", err)
	}
	defer dec.Close()
	raw, err := dec.DecodeAll(b, nil)
	if err != nil {
		return nil, fmt.Errorf("expand delta: %w", err)
	}
	return raw, nil
}
