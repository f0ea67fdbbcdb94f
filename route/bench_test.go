package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

func BenchmarkChoose(b *testing.B) {
	c := New(Deps{Config: DefaultConfig(), Place: here, Random: rand.Uint64, Stats: stats.New(), Log: event.Discard()})
	list := servers(32, here, ident.Place{Region: "Riga", DataCentre: "riga-b"}, ident.Place{Region: "Daugavpils", DataCentre: "dgp-a"})
	b.ReportAllocs()
	for b.Loop() {
		p, err := c.Choose(Request{Service: "lessons", Member: "office"}, list)
		if err != nil {
			b.Fatal(err)
		}
		p.Done(Outcome{Latency: 10 * time.Millisecond})
	}
}

// BenchmarkChooseSmallCap measures Choose for members whose caps are too small for a base unit at each server.
func BenchmarkChooseSmallCap(b *testing.B) {
	c := New(Deps{Config: DefaultConfig(), Place: here, Random: rand.Uint64, Stats: stats.New(), Log: event.Discard()})
	list := servers(32, here, ident.Place{Region: "Riga", DataCentre: "riga-b"}, ident.Place{Region: "Daugavpils", DataCentre: "dgp-a"})
	members := make([]ident.MemberID, 200)
	for i := range members {
		members[i] = ident.MemberID(fmt.Sprint("member-", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p, err := c.Choose(Request{Service: "lessons", Member: members[i%len(members)], Cap: 10}, list)
		if err != nil {
			b.Fatal(err)
		}
		p.Done(Outcome{Latency: 10 * time.Millisecond})
	}
}
