package accept

import (
	"encoding/json"
	"fmt"

	"github.com/marjoramcroft/marjoramcroft/store"
)

// prepared is a rebased proposal whose chunks are written, ready for the swap of head.
type prepared struct {
	data     []byte         // the encoded new head
	position store.Position // of the head that it replaces
	chunks   []chunk
	record   Record
	result   Result
}

// newPrepared encodes the Head that follows head with rec.
func newPrepared(head Head, rec Record, chunks []chunk, result Result) (*prepared, error) {
	data, err := json.Marshal(head.next(rec))
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", HeadKey, err)
	}
	return &prepared{data: data, position: head.Position(), chunks: chunks, record: rec, result: result}, nil
}
