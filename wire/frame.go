package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrameBytes is the maximum length of a frame's payload. A full agreement of 20,000 rows fits
// when compressed, so a longer frame is corrupt or was not sent by a daemon.
const MaxFrameBytes = 8 << 20

// frameHeaderBytes is the length of a frame's header: length and CRC-32 of the payload, 4 bytes
// each.
const frameHeaderBytes = 8

// Errors of ReadFrame and Decode.
var (
	ErrTooLong = errors.New("frame too long")
	ErrCorrupt = errors.New("frame corrupt")
)

// AppendFrame appends a frame with payload to b.
func AppendFrame(b, payload []byte) ([]byte, error) {
	at := len(b)
	b = append(append(b, make([]byte, frameHeaderBytes)...), payload...)
	return b, writeHeader(b[at:])
}

// encodeFrame returns a frame with v encoded as msgpack, without copying the payload.
func encodeFrame(v any) ([]byte, error) {
	var b bytes.Buffer
	b.Write(make([]byte, frameHeaderBytes))
	if err := encode(&b, v); err != nil {
		return nil, err
	}
	return b.Bytes(), writeHeader(b.Bytes())
}

// writeHeader writes the header of frame into the bytes reserved before the payload.
func writeHeader(frame []byte) error {
	payload := frame[frameHeaderBytes:]
	if len(payload) > MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes", ErrTooLong, len(payload))
	}
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[4:], crc32.ChecksumIEEE(payload))
	return nil
}

// ReadFrame returns the payload of the next frame. It allocates memory as data arrives, so that
// a forged length costs little.
func ReadFrame(r io.Reader) ([]byte, error) {
	return ReadFrameWithin(r, func(int) error { return nil })
}

// ReadFrameWithin is ReadFrame with a limit of memory: it calls reserve before it allocates memory,
// with the number of bytes, and returns its error.
func ReadFrameWithin(r io.Reader, reserve func(n int) error) ([]byte, error) {
	var h [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, fmt.Errorf("read frame header: %w", err)
	}
	n := binary.BigEndian.Uint32(h[:4])
	if n > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	payload, err := readPayload(r, int(n), reserve)
	if err != nil {
		return nil, fmt.Errorf("read frame of %d bytes: %w", n, err)
	}
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(h[4:]) {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	return payload, nil
}

// readChunkBytes limits the memory allocated before the data arrives.
const readChunkBytes = 64 << 10

func readPayload(r io.Reader, n int, reserve func(n int) error) ([]byte, error) {
	if err := reserve(min(n, readChunkBytes)); err != nil {
		return nil, err
	}
	out := make([]byte, 0, min(n, readChunkBytes))
	for len(out) < n {
		m := min(n-len(out), readChunkBytes)
		at := len(out)
		if more := at + m - cap(out); more > 0 {
			// append at most doubles the buffer and copies it.
			if err := reserve(2 * max(m, at)); err != nil {
				return nil, err
			}
		}
		out = append(out, make([]byte, m)...)
		if _, err := io.ReadFull(r, out[at:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return out, nil
}

// Encode returns v encoded as msgpack. A Body is returned unchanged.
func Encode(v any) ([]byte, error) {
	if b, ok := v.(Body); ok {
		return b, nil
	}
	var b bytes.Buffer
	if err := encode(&b, v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func encode(b *bytes.Buffer, v any) error {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(b)
	enc.UseCompactInts(true) // most numbers are small and would otherwise take 9 bytes
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	return nil
}

// Decode decodes b from msgpack into v. A malformed message allocates no more memory than its
// length justifies. The error wraps ErrCorrupt.
func Decode(b []byte, v any) error {
	if err := checkBounds(b); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: decode message: %w", ErrCorrupt, err)
	}
	return nil
}
