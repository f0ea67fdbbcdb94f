package wire

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// wideRow is an element as large as a row of the agreement.
type wideRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	A, B, C  string
	D, E, F  string
	G        int64
}

// listMessage is a message with a slice.
type listMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	List     []wideRow
}

// forgedHeader returns a header of the given kind that declares length n, as the only element of
// an array.
func forgedHeader(kind byte, n uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{msgpcode.FixedArrayLow | 1, kind}, n)
}

// TestDecodeRejectsForgedLengths guards against a message of a few bytes that allocates hundreds
// of megabytes or overflows the stack.
func TestDecodeRejectsForgedLengths(t *testing.T) {
	const forgedLen = 1 << 22 // 400 MB of elements
	const maxAlloc = 1 << 20
	tests := map[string][]byte{
		"array longer than the message":        forgedHeader(msgpcode.Array32, forgedLen),
		"map longer than the message":          forgedHeader(msgpcode.Map32, forgedLen),
		"string longer than the message":       forgedHeader(msgpcode.Str32, forgedLen),
		"bytes longer than the message":        forgedHeader(msgpcode.Bin32, forgedLen),
		"extension longer than the message":    append(forgedHeader(msgpcode.Ext32, forgedLen), 1),
		"array that ends early":                {msgpcode.FixedArrayLow | 2, 1},
		"arrays in arrays":                     bytes.Repeat([]byte{msgpcode.FixedArrayLow | 1}, 100_000),
		"arrays in arrays beyond the elements": append([]byte{msgpcode.FixedArrayLow | 2, msgpcode.FixedArrayLow}, bytes.Repeat([]byte{msgpcode.FixedArrayLow | 1}, 100_000)...),
		"empty":                                {},
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var v listMessage
			if err := Decode(b, &v); err == nil {
				t.Error("forged message was decoded")
			}
			runtime.ReadMemStats(&after)
			if n := after.TotalAlloc - before.TotalAlloc; n > maxAlloc {
				t.Errorf("%d bytes allocated", n)
			}
		})
	}
}
