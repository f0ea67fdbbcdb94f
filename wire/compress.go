package wire

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// MaxExpanded bounds what a compressed update may expand to, in bytes. 20,000 rows take about
// 2 MB; a larger result can only be corruption.
const MaxExpanded = 64 << 20

// codec compresses and expands updates. It is shared by the whole process, since each
// zstd encoder keeps its window in memory.
type codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// updates is made before any test bubble starts: its channels would otherwise belong to
// the first bubble that uses it.
var updates = newCodec()

func newCodec() codec {
	// The constructors fail on invalid options only.
	enc, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10),
		zstd.WithLowerEncoderMem(true))
	dec, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxExpanded),
		zstd.WithDecoderLowmem(true))
	enc.EncodeAll(nil, nil)
	return codec{enc, dec}
}

// Compress returns b compressed by zstd.
func Compress(b []byte) []byte { return updates.enc.EncodeAll(b, nil) }

// Expand returns what Compress compressed.
func Expand(b []byte) ([]byte, error) {
	raw, err := updates.dec.DecodeAll(b, nil)
	if err != nil {
		return nil, fmt.Errorf("expand update: %w", err)
	}
	return raw, nil
}
