package wire

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// MaxDecompressedBytes limits the decompressed size of an update, in bytes. 20,000 rows take about 2 MB,
// so a larger result must be corrupt.
const MaxDecompressedBytes = 64 << 20

// codec compresses and decompresses updates. The whole process shares one, since each zstd
// encoder keeps its window in memory.
type codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// sharedCodec is created at package initialisation, before any synctest bubble starts. Otherwise
// its channels would belong to the first bubble that uses it.
var sharedCodec = newCodec()

func newCodec() codec {
	// The constructors fail only on invalid options.
	enc, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10),
		zstd.WithLowerEncoderMem(true))
	dec, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxDecompressedBytes),
		zstd.WithDecoderLowmem(true))
	enc.EncodeAll(nil, nil)
	return codec{enc, dec}
}

// Compress returns b compressed with zstd.
func Compress(b []byte) []byte { return sharedCodec.enc.EncodeAll(b, nil) }

// Decompress decompresses the output of Compress.
func Decompress(b []byte) ([]byte, error) {
	raw, err := sharedCodec.dec.DecodeAll(b, nil)
	if err != nil {
		return nil, fmt.Errorf("expand update: %w", err)
	}
	return raw, nil
}
