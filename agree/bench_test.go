package agree

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// rowsOf returns about n rows of a valid agreement: 60 services, and members with a cap and a
// route in each of four services.
func rowsOf(n int) []Row {
	var rows []Row
	for s := range 60 {
		rows = append(rows, Row{Kind: KindService, Service: ident.ServiceID(fmt.Sprintf("service-%d", s))})
	}
	for m := 0; len(rows) < n; m++ {
		member := ident.MemberID(fmt.Sprintf("member-%d", m))
		rows = append(rows, Row{Kind: KindMember, Member: member})
		for k := range 4 {
			service := ident.ServiceID(fmt.Sprintf("service-%d", (m+k)%60))
			rows = append(rows,
				Row{Kind: KindCap, Member: member, Service: service, Units: 12},
				Row{
					Kind: KindRoute, Route: ident.RouteID(fmt.Sprintf("route-%d-%d", m, k)), Member: member, Service: service,
					Prefix: fmt.Sprintf("/path-%d", k), Class: Short, Repeat: RepeatByMethod, Timeout: time.Second,
				})
		}
	}
	return rows
}

func BenchmarkApplyOneCap(b *testing.B) {
	for _, n := range []int{1000, 5000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a, err := New(1, rowsOf(n))
			if err != nil {
				b.Fatal(err)
			}
			c := Change{Put: []Row{{Kind: KindCap, Member: "member-0", Service: "service-0", Units: 13}}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := a.Apply(2, c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkRoute(b *testing.B) {
	a, err := New(1, rowsOf(20_000))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, ok := a.Route("member-7", "/path-3/x"); !ok {
			b.Fatal("no route")
		}
	}
}

// BenchmarkMemory reports the heap memory of an agreement in bytes per row.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 5000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			a, err := New(1, rowsOf(n))
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(a.Len()), "bytes/row")
			runtime.KeepAlive(a)
		})
	}
}

// BenchmarkNew measures the validation, hashing and indexing of all rows.
func BenchmarkNew(b *testing.B) {
	for _, n := range []int{1000, 5000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rows := rowsOf(n)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := New(1, rows); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
