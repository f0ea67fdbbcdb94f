package accept

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

// codec compresses and decompresses chunks.
type codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

func newCodec() (*codec, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("create zstd encoder: %w", err)
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChunkBytes))
	if err != nil {
		return nil, fmt.Errorf("create zstd decoder: %w", err)
	}
	return &codec{enc: enc, dec: dec}, nil
}

func (c *codec) encode(ch chunk) []byte { return c.enc.EncodeAll(ch.data, nil) }

// decode decompresses the stored data of the chunk id, verifies its hash and calls add with each
// row. Its errors wrap ErrCorrupt.
func (c *codec) decode(id ChunkID, stored []byte, add func(agree.Row)) error {
	data, err := c.dec.DecodeAll(stored, nil)
	if err != nil {
		return fmt.Errorf("%w: decompress chunk %s: %w", ErrCorrupt, id, err)
	}
	if got := hashChunk(data); got != id {
		return fmt.Errorf("%w: chunk %s has hash %s", ErrCorrupt, id, got)
	}
	dec := msgpack.NewDecoder(bytes.NewReader(data))
	var r agree.Row // reused for all rows: a variable that is decoded into is allocated on the heap
	for {
		r = agree.Row{}
		err := dec.Decode(&r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: decode chunk %s: %w", ErrCorrupt, id, err)
		}
		add(r)
	}
}
