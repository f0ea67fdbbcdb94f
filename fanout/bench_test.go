package fanout_test

import (
	"fmt"
	"testing"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/fanout"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// agreementOfSize returns an agreement of about n rows: one service, and a cap for each member.
func agreementOfSize(tb testing.TB, n int) *agree.Agreement {
	tb.Helper()
	rows := []agree.Row{{Kind: agree.KindService, Service: "lessons"}}
	for m := 0; len(rows) < n; m++ {
		member := ident.MemberID(fmt.Sprintf("member-%d", m))
		rows = append(rows, agree.Row{Kind: agree.KindMember, Member: member},
			agree.Row{Kind: agree.KindCap, Member: member, Service: "lessons", Units: 12})
	}
	a, err := agree.New(1, rows)
	if err != nil {
		tb.Fatal(err)
	}
	return a
}

// BenchmarkDelta measures creating and encoding the delta of one changed cap.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{1000, 5000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			base := agreementOfSize(b, n)
			cur, err := base.Apply(2, agree.Change{Put: []agree.Row{
				{Kind: agree.KindCap, Member: "member-0", Service: "lessons", Units: 13},
			}})
			if err != nil {
				b.Fatal(err)
			}
			size := 0
			for b.Loop() {
				d, err := fanout.NewDelta(base, cur)
				if err != nil {
					b.Fatal(err)
				}
				body, err := wire.Encode(d)
				if err != nil {
					b.Fatal(err)
				}
				size = len(body)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkSnapshot measures encoding a snapshot, and decoding and validating it.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1000, 5000, 20_000} {
		a := agreementOfSize(b, n)
		b.Run(fmt.Sprint("encode/", n), func(b *testing.B) {
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				s, err := fanout.NewSnapshot(a)
				if err != nil {
					b.Fatal(err)
				}
				size = len(s.Rows)
			}
			b.ReportMetric(float64(size), "bytes")
		})
		b.Run(fmt.Sprint("decode/", n), func(b *testing.B) {
			s, err := fanout.NewSnapshot(a)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Agreement(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
