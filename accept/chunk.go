package accept

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

// ChunkID is the hash of a chunk's uncompressed data in hexadecimal.
type ChunkID string

const chunkPrefix = "chunk/"

func (id ChunkID) key() string { return chunkPrefix + string(id) }

// chunk holds consecutive rows of an agreement, encoded as MessagePack.
type chunk struct {
	id   ChunkID
	data []byte // uncompressed
}

const (
	// meanChunkRows is the average number of rows in a chunk. With 512 rows a change of one row
	// rewrites about 10 KB, and an agreement of 20,000 rows has about 40 chunks.
	meanChunkRows = 512
	// maxChunkBytes limits the uncompressed size of a chunk. It is half of the store's limit of
	// 1 MB per value, so that a chunk fits even if its data cannot be compressed.
	maxChunkBytes = 512 << 10
)

// isBoundary reports whether a chunk ends with the row of key k (content-defined chunking). The
// result depends on k alone, so that adding or removing a row changes only the adjacent chunks.
func isBoundary(k agree.Key) bool {
	return xxhash.Sum64String(string(k))%meanChunkRows == 0
}

// split encodes rows, which must be sorted by key, into chunks.
func split(rows []agree.Row) ([]chunk, error) {
	var out []chunk
	var data []byte
	flush := func() {
		if len(data) > 0 {
			out = append(out, newChunk(data))
			data = nil
		}
	}
	for _, r := range rows {
		b, err := msgpack.Marshal(&r)
		if err != nil {
			return nil, fmt.Errorf("encode row %s: %w", r.Key(), err)
		}
		if len(b) > maxChunkBytes {
			return nil, fmt.Errorf("%w: row %s has %d bytes", ErrProposal, r.Key(), len(b))
		}
		if len(data)+len(b) > maxChunkBytes {
			flush()
		}
		data = append(data, b...)
		if isBoundary(r.Key()) {
			flush()
		}
	}
	flush()
	return out, nil
}

func newChunk(data []byte) chunk {
	return chunk{id: hashChunk(data), data: data}
}

// hashChunk returns the first 128 bits of the SHA-256 of data, which are enough against accidental
// and deliberate collisions.
func hashChunk(data []byte) ChunkID {
	sum := sha256.Sum256(data)
	return ChunkID(hex.EncodeToString(sum[:16]))
}
