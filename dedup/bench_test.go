package dedup

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/event"
	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/quota"
	"github.com/marjoramcroft/marjoramcroft/refuse"
	"github.com/marjoramcroft/marjoramcroft/stats"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// benchRecords is the number of records in the table. With answers of 100 bytes, more
// records would exceed MaxBytes.
const benchRecords = 40_000

// benchTable returns a table that serves free keys, one of 32 holders, and benchRecords+1
// free keys whose home it is. All but the last key have records.
func benchTable(b *testing.B) (*Table, []Scope) {
	b.Helper()
	l := quota.List{Version: 1, Longest: 30 * time.Second}
	for i := range 32 {
		l.Holders = append(l.Holders, ident.Addr(fmt.Sprintf("vm-%02d:7000", i)))
	}
	yes := func() bool { return true }
	t := New(TableDeps{
		Service: testService, Addr: l.Holders[0], Incarnation: 1,
		List: func() quota.List { return l }, Leased: yes, Confirmed: yes, Joined: yes,
		PreviousIncarnation: func() ident.Incarnation { return 0 }, Rand: func() uint64 { return 0 },
		Log: event.Discard(), Stats: stats.New(),
	})
	t.start.Store(startClean)
	t.ready.Store(l.Version)
	var keys []Scope
	for i := 0; len(keys) <= benchRecords; i++ {
		key := Scope{Service: testService, Member: member, Key: Key(fmt.Sprintf("order-%08d", i))}
		if quota.FirstRanked(key.homeKey(), l.Holders) == l.Holders[0] {
			keys = append(keys, key)
		}
	}
	for _, key := range keys[:benchRecords] {
		benchCall(b, t, key)
	}
	if t.Len() != benchRecords {
		b.Fatalf("%d records", t.Len())
	}
	return t, keys
}

// benchMessage encodes in, passes it to t and decodes the reply into out.
func benchMessage(b *testing.B, t *Table, typ wire.Type, in, out any) {
	body, err := wire.Encode(in)
	if err != nil {
		b.Fatal(err)
	}
	if body, err = t.Handle(context.Background(), nil, typ, body); err != nil {
		b.Fatal(err)
	}
	if err := wire.Decode(body, out); err != nil {
		b.Fatal(err)
	}
}

// benchCall claims key for a new call and finishes it with an answer of 100 bytes.
func benchCall(b *testing.B, t *Table, key Scope) {
	var r Reply
	benchMessage(b, t, TypeClaim, Claim{Scope: key, ListVersion: 1, Digest: 7, Call: 9, Left: time.Second}, &r)
	if r.Kind != Fresh {
		b.Fatalf("claim: %s %s", r.Kind, r.Detail)
	}
	var f Finished
	answer := Answer{Ran: refuse.RanYes, Status: 200, Body: make([]byte, 100), Kept: true}
	benchMessage(b, t, TypeFinish, Finish{Scope: key, Call: 9, Answer: answer}, &f)
	if f.Moved {
		b.Fatal("finish: moved")
	}
}

// BenchmarkTableCall measures the work of the home and the entry daemon for one call with a
// new key: Claim, Finish and the removal of an old record. It includes the encoding of
// messages, but no network.
func BenchmarkTableCall(b *testing.B) {
	t, keys := benchTable(b)
	b.ReportAllocs()
	defer reportCPU(b)()
	next := benchRecords
	for b.Loop() {
		benchCall(b, t, keys[next])
		next = (next + 1) % len(keys)
		s := t.shard(keys[next])
		s.mu.Lock()
		t.drop(s, keys[next])
		s.mu.Unlock()
	}
}

// BenchmarkTableRepeat measures the Claim of a repeated call, which returns the stored answer.
func BenchmarkTableRepeat(b *testing.B) {
	t, keys := benchTable(b)
	b.ReportAllocs()
	defer reportCPU(b)()
	at := 0
	for b.Loop() {
		var r Reply
		benchMessage(b, t, TypeClaim, Claim{Scope: keys[at], ListVersion: 1, Digest: 7, Call: 10, Left: time.Second}, &r)
		if r.Kind != Replay {
			b.Fatalf("claim: %s %s", r.Kind, r.Detail)
		}
		at = (at + 1) % benchRecords
	}
}

// BenchmarkTableSweep measures the search of one shard for expired records, which a
// table does once per scanInterval.
func BenchmarkTableSweep(b *testing.B) {
	t, _ := benchTable(b)
	b.ReportAllocs()
	defer reportCPU(b)()
	for b.Loop() {
		t.sweep()
	}
}

// reportCPU reports the CPU time that this process uses from now until the returned
// function is called. Unlike wall time, it excludes other processes.
func reportCPU(b *testing.B) func() {
	begin := emul.CPUTime()
	return func() { b.ReportMetric(float64(emul.CPUTime()-begin)/float64(b.N), "cpu-ns/op") }
}
