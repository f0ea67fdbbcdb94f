package fanout

import (
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Snapshot is the full state of one Version.
type Snapshot struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Version  ident.Version
	Hash     agree.Hash
	Rows     []byte // all rows: msgpack, compressed with zstd
}

// NewSnapshot returns the snapshot of a.
func NewSnapshot(a *agree.Agreement) (Snapshot, error) {
	b, err := packState(a)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Version: a.Version(), Hash: a.Hash(), Rows: b}, nil
}

// Agreement decodes and validates s. The error is a *DropError.
func (s Snapshot) Agreement() (*agree.Agreement, error) {
	return s.decodeWithBase(agree.Empty())
}

// decodeWithBase decodes and validates s. The result shares the rows that are equal with base.
func (s Snapshot) decodeWithBase(base *agree.Agreement) (*agree.Agreement, error) {
	rows, err := unpackState(s.Rows, base)
	if err != nil {
		return nil, &DropError{Reason: Corrupt, Version: s.Version, Err: err}
	}
	a, err := rows.Agreement(s.Version)
	if err != nil {
		return nil, &DropError{Reason: Invalid, Version: s.Version, Err: err}
	}
	if a.Hash() != s.Hash {
		return nil, &DropError{Reason: WrongHash, Version: s.Version}
	}
	return a, nil
}
