package accept

import (
	"fmt"
	"runtime"
	"testing"
	"time"
	"weak"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/store"
)

// largeRows returns n rows: 60 services, members, caps and routes in about equal numbers.
func largeRows(n int) []agree.Row {
	var rows []agree.Row
	for i := range 60 {
		rows = append(rows, agree.Row{Kind: agree.KindService, Service: ident.ServiceID(fmt.Sprint("service", i))})
	}
	for i := 0; len(rows)+3 <= n; i++ {
		m, s := ident.MemberID(fmt.Sprint("member", i)), ident.ServiceID(fmt.Sprint("service", i%60))
		rows = append(rows,
			agree.Row{Kind: agree.KindMember, Member: m},
			agree.Row{Kind: agree.KindCap, Member: m, Service: s, Units: ident.Units(1 + i%90)},
			agree.Row{
				Kind: agree.KindRoute, Member: m, Service: s, Route: ident.RouteID(fmt.Sprint("route", i)),
				Prefix: fmt.Sprintf("/%s/%d", s, i), Class: agree.Short, Repeat: agree.RepeatByMethod, Timeout: time.Second,
			})
	}
	return rows
}

func upload(id string, rows []agree.Row) Proposal {
	return Proposal{ID: ident.ChangeID(id), Author: "planner", Kind: KindSheet, Change: agree.Change{Put: rows}}
}

func TestChangeOfOneRowRewritesOneChunk(t *testing.T) {
	tests := map[string]struct {
		rows   int
		change agree.Change
	}{
		"one cap of 1,000 rows":  {1000, agree.Change{Put: []agree.Row{{Kind: agree.KindCap, Member: "member7", Service: "service7", Units: 77}}}},
		"one cap of 5,000 rows":  {5000, agree.Change{Put: []agree.Row{{Kind: agree.KindCap, Member: "member7", Service: "service7", Units: 77}}}},
		"one cap of 20,000 rows": {20_000, agree.Change{Put: []agree.Row{{Kind: agree.KindCap, Member: "member7", Service: "service7", Units: 77}}}},
		"new row":                {5000, agree.Change{Put: []agree.Row{{Kind: agree.KindMember, Member: "another"}}}},
		"deleted row":            {5000, agree.Change{Delete: []agree.Key{"route/route9"}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.mustPropose(t, upload("first", largeRows(tt.rows)))
			head := b.head(t)
			written, size := b.stats.Value("Accept.ChunksWritten"), b.stats.Value("Accept.ChunkBytes")
			p := correction("x", 1)
			p.Change = tt.change
			b.mustPropose(t, p)
			t.Logf("%d chunks, %d bytes, head %d bytes; the change writes %d bytes of chunks", written, size,
				len(b.emul.Peek(HeadKey).Data), b.stats.Value("Accept.ChunkBytes")-size)
			is.True(len(head.Chunks) <= 3+tt.rows/meanChunkRows*3/2)
			is.Equal(b.stats.Value("Accept.ChunksWritten")-written, int64(1))
			b.caps(t)
		})
	}
}

func TestEveryStoredValueStaysBelowTheLimit(t *testing.T) {
	tests := map[string]func() []agree.Row{
		"20,000 rows": func() []agree.Row { return largeRows(20_000) },
		"prefixes of 400 KB that do not compress": func() []agree.Row {
			rows, rnd := largeRows(80), lockedRand()
			for i := range rows {
				if rows[i].Kind != agree.KindRoute {
					continue
				}
				prefix := []byte("/")
				for range 400_000 {
					prefix = append(prefix, byte(33+rnd()*94))
				}
				rows[i].Prefix = string(prefix)
			}
			return rows
		},
	}
	for name, rows := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			b.mustPropose(t, upload("first", rows()))
			for _, k := range b.emul.Keys("") {
				is.True(len(b.emul.Peek(k).Data) < store.MaxValue)
			}
			a, err := newBenchOn(t, b.emul).Load(t.Context(), b.head(t))
			is.NoErr(err)
			is.Equal(a.Len(), len(rows()))
		})
	}
}

func TestLoadOfTheNextVersionReadsOnlyItsChunks(t *testing.T) {
	// A root daemon in another region than the store is charged for each byte that it reads.
	is := is.New(t)
	b := newBench(t)
	b.mustPropose(t, upload("first", largeRows(20_000)))
	other := newBenchOn(t, b.emul)
	_, err := other.Load(t.Context(), b.head(t))
	is.NoErr(err)
	b.mustPropose(t, correction("x", 1, agree.Row{Kind: agree.KindCap, Member: "member7", Service: "service7", Units: 77}))
	before := b.emul.Counts()["Get"]
	_, err = other.Load(t.Context(), b.head(t))
	is.NoErr(err)
	is.Equal(b.emul.Counts()["Get"]-before, int64(2)) // head and one chunk
}

// TestLoadKeepsNoAgreementWithoutKeepLoaded guards against an Acceptor that keeps agreements in the
// memory of a daemon that no longer serves them.
func TestLoadKeepsNoAgreementWithoutKeepLoaded(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.mustPropose(t, upload("first", largeRows(1000)))
	other := newBenchOn(t, b.emul)
	other.Config.KeepLoaded = 0
	load := func() weak.Pointer[agree.Agreement] {
		a, err := other.Load(t.Context(), b.head(t))
		is.NoErr(err)
		return weak.Make(a)
	}
	first := load()
	runtime.GC()
	is.Equal(first.Value(), nil)
	before := b.emul.Counts()["Get"]
	load()
	is.Equal(b.emul.Counts()["Get"]-before, int64(1)) // head only; the chunks are cached
}

func BenchmarkPropose20000(b *testing.B) {
	bench := newBench(b)
	bench.mustPropose(b, upload("first", largeRows(20_000)))
	for i := 0; b.Loop(); i++ {
		row := agree.Row{Kind: agree.KindCap, Member: "member7", Service: "service7", Units: ident.Units(1 + i%1000)}
		bench.mustPropose(b, correction(fmt.Sprint("c", i), 0, row))
	}
}

// BenchmarkRestore20000 restores one of two Versions that differ in one cap.
func BenchmarkRestore20000(b *testing.B) {
	bench := newBench(b)
	bench.mustPropose(b, upload("first", largeRows(20_000)))
	bench.mustPropose(b, correction("second", 0, agree.Row{Kind: agree.KindCap, Member: "member7", Service: "service7", Units: 77}))
	for i := 0; b.Loop(); i++ {
		bench.mustPropose(b, restore(fmt.Sprint("r", i), ident.Version(1+i%2), ident.Version(2+i)))
	}
}

func BenchmarkLoad20000(b *testing.B) {
	bench := newBench(b)
	bench.mustPropose(b, upload("first", largeRows(20_000)))
	head, err := bench.Head(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := newBenchOn(b, bench.emul).Load(b.Context(), head); err != nil {
			b.Fatal(err)
		}
	}
}
