package wire

import (
	"bytes"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting limits the depth of nested arrays and maps. Messages have at most 6 levels. msgpack
// skips unknown elements recursively, so that 8 MB of nested arrays would overflow the stack.
const maxNesting = 32

// checkBounds returns an error that wraps ErrCorrupt if the value in b declares more elements or
// bytes than b contains, or is nested deeper than maxNesting. msgpack allocates a slice of
// structs of the declared length before it reads the elements, so that 6 bytes could allocate
// gigabytes.
func checkBounds(b []byte) error {
	r := bytes.NewReader(b)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(r)
	var remaining [maxNesting]int // remaining elements of each open array or map
	depth := 0
	for {
		n, err := skipValue(dec, r)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		if n > 0 {
			if depth == maxNesting {
				return fmt.Errorf("%w: nested more than %d times", ErrCorrupt, maxNesting)
			}
			remaining[depth] = n
			depth++
			continue
		}
		for depth > 0 {
			if remaining[depth-1]--; remaining[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// skipValue skips the next value, or only the header of an array or map. It returns the number
// of elements that follow.
func skipValue(dec *msgpack.Decoder, r *bytes.Reader) (int, error) {
	code, err := dec.PeekCode()
	if err != nil {
		return 0, err
	}
	n := 0
	switch {
	case msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32:
		n, err = dec.DecodeArrayLen()
	case msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32:
		n, err = dec.DecodeMapLen()
		n *= 2
	case msgpcode.IsString(code) || msgpcode.IsBin(code):
		n, err := dec.DecodeBytesLen()
		return 0, skipBytes(r, n, err)
	case msgpcode.IsExt(code):
		_, n, err := dec.DecodeExtHeader()
		return 0, skipBytes(r, n, err)
	default:
		return 0, dec.Skip()
	}
	if err == nil && n > r.Len() {
		err = fmt.Errorf("%d elements stated in %d bytes", n, r.Len())
	}
	return n, err
}

// skipBytes skips n bytes without copying them. It returns err if that is not nil.
func skipBytes(r *bytes.Reader, n int, err error) error {
	if err != nil {
		return err
	}
	if n > r.Len() {
		return fmt.Errorf("%d bytes stated, %d left", n, r.Len())
	}
	_, err = r.Seek(int64(n), io.SeekCurrent)
	return err
}
