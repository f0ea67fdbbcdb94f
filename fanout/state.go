package fanout

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

// partBytes is the size at which encoded rows are compressed as a separate zstd frame, so that
// the msgpack of a full state is never in memory at once. Smaller parts compress worse.
const partBytes = 128 << 10

// errTrailingData reports bytes after the rows of a state.
var errTrailingData = errors.New("bytes after the end of the state")

// packState encodes the rows of a as a rowSet, compressed in parts.
func packState(a *agree.Agreement) ([]byte, error) {
	var out []byte
	var part bytes.Buffer
	zip := newStateEncoder()
	enc := msgpack.NewEncoder(&part)
	enc.UseCompactInts(true)
	err := errors.Join(enc.EncodeArrayLen(2), enc.EncodeArrayLen(a.Len()))
	var encoded wireRow // reused for all rows, since it escapes to the heap
	for r := range a.All() {
		if err != nil {
			break
		}
		encoded = toWireRow(r)
		err = enc.Encode(&encoded)
		if part.Len() >= partBytes {
			out = zip.EncodeAll(part.Bytes(), out)
			part.Reset()
		}
	}
	if err := errors.Join(err, enc.EncodeNil()); err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return bytes.Clone(zip.EncodeAll(part.Bytes(), out)), nil
}

// unpackState decodes the output of packState row by row. Rows that are equal in base are shared
// with it.
func unpackState(b []byte, base *agree.Agreement) (*agree.Builder, error) {
	raw, err := unpackStream(b)
	if err != nil {
		return nil, err
	}
	defer func() { _ = raw.Close() }()
	r := bufio.NewReader(io.LimitReader(raw, maxDecompressedBytes))
	out, err := decodeState(msgpack.NewDecoder(r), base)
	if err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	// Reading to the end verifies the checksum of the last part.
	switch _, err := r.ReadByte(); {
	case err == nil:
		return nil, errTrailingData
	case !errors.Is(err, io.EOF):
		return nil, fmt.Errorf("decompress state: %w", err)
	}
	return out, nil
}

func decodeState(dec *msgpack.Decoder, base *agree.Agreement) (*agree.Builder, error) {
	fields, err := dec.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	out := agree.NewBuilder(max(n, 0), base) // n is -1 for nil
	var r wireRow                            // reused for all rows, since it escapes to the heap
	for range n {
		r = wireRow{}
		if err := dec.Decode(&r); err != nil {
			return nil, err
		}
		out.Add(fromWireRow(r))
	}
	for range fields - 1 {
		if err := dec.Skip(); err != nil { // Delete is empty in a state
			return nil, err
		}
	}
	return out, nil
}
