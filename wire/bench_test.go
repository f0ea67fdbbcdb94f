package wire

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// BenchmarkDecode compares Decode with msgpack.Unmarshal.
func BenchmarkDecode(b *testing.B) {
	var list listMessage
	for i := range 20_000 {
		list.List = append(list.List, wideRow{A: "cap", B: fmt.Sprint("member", i), C: "service", G: int64(i)})
	}
	for name, v := range map[string]any{
		"heartbeat":  message{ID: 7, Type: "peers.Beat", Body: make([]byte, 40)},
		"20000 rows": list,
	} {
		data, err := Encode(v)
		if err != nil {
			b.Fatal(err)
		}
		out := func() any {
			if _, ok := v.(message); ok {
				return &message{}
			}
			return &listMessage{}
		}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if err := Decode(data, out()); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(name+", library alone", func(b *testing.B) {
			for b.Loop() {
				if err := msgpack.Unmarshal(data, out()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
