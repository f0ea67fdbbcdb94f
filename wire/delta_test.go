package wire

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// testDocument returns a configuration-like document of about 200 KB; version and weight are the parts that change.
func testDocument(version, weight int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"resources":[`, version)
	for i := range 850 {
		w := 1
		if i == 400 {
			w = weight
		}
		fmt.Fprintf(&b, `{"type":"routes","metadata":{"name":"route-%x"},"spec":{"host":"h%x.example","prefix":"/p%x/","split":[{"service":"svc-%d","weight":%d}],"timeout":2.5,"goal":0.6,"attempts":2,"priority":%d}},`,
			i*7919, i*104729, i*15485863, i%3, w, i%4)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// TestDelta guards against configurations that fill the link between regions although only a row changed, and
// against a delta that is applied to another base than it was made for.
func TestDelta(t *testing.T) {
	is := is.New(t)
	base, next := testDocument(1, 1), testDocument(2, 7)
	is.True(len(base) > 150<<10)
	d, err := CompressDelta(base, next)
	is.NoErr(err)
	is.True(len(d) < 1<<10) // the whole document takes more than 10 KB
	got, err := DecompressDelta(base, d)
	is.NoErr(err)
	is.True(bytes.Equal(got, next))
	_, err = DecompressDelta(bytes.ReplaceAll(base, []byte("svc-1"), []byte("svc-9")), d)
	is.True(err != nil)
	_, err = DecompressDelta(base, d[:len(d)/2])
	is.True(err != nil)
	_, err = DecompressDelta(base, []byte("no delta"))
	is.True(err != nil)
	empty, err := CompressDelta(nil, next)
	is.NoErr(err)
	got, err = DecompressDelta(nil, empty)
	is.NoErr(err)
	is.True(bytes.Equal(got, next))
}

// BenchmarkDelta measures the work for one change of a configuration of 200 KB.
func BenchmarkDelta(b *testing.B) {
	base, next := testDocument(1, 1), testDocument(2, 7)
	d, _ := CompressDelta(base, next)
	b.Run("compress", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = CompressDelta(base, next)
		}
	})
	b.Run("decompress", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = DecompressDelta(base, d)
		}
	})
	b.Run("compress whole", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = Compress(next)
		}
	})
	b.Run("decompress whole", func(b *testing.B) {
		c := Compress(next)
		b.ReportMetric(float64(len(c)), "bytes")
		b.ReportAllocs()
		for b.Loop() {
			_, _ = Decompress(c)
		}
	})
}
