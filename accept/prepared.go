package accept

import (
	"encoding/json"
	"fmt"
)

// prepared is a rebased proposal whose chunks are written, ready for the swap of head.
type prepared struct {
	data     []byte // the encoded new head
	revision int64  // of the head that it replaces
	record   Record
	result   Result
}

// newPrepared encodes the Head that follows head with rec.
func newPrepared(head Head, rec Record, result Result) (*prepared, error) {
	data, err := json.Marshal(head.next(rec))
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", HeadKey, err)
	}
	return &prepared{data: data, revision: head.Revision, record: rec, result: result}, nil
}
